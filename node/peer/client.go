// Package peer carries the calls between hosts over connect-go and HTTP/2.
package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/dotterelswitch/dotterelswitch/core/membership"
	"github.com/dotterelswitch/dotterelswitch/node/peer/peerpb"
	"github.com/dotterelswitch/dotterelswitch/node/peer/peerpb/peerpbconnect"
	"github.com/dotterelswitch/dotterelswitch/node/request"
)

const (
	// pingAfter and pingTimeout find connections that lead nowhere.
	pingAfter   = 500 * time.Millisecond
	pingTimeout = 500 * time.Millisecond
	dialTimeout = 500 * time.Millisecond
)

// keyHeader carries the key that hosts and operators share.
const keyHeader = "Dotterelswitch-Key"

// CallError reports a call whose answer did not arrive.
type CallError struct {
	Address string
	// Sent reports whether the call may have reached the other host.
	Sent bool
	Err  error
}

func (e *CallError) Error() string { return "peer " + e.Address + ": " + e.Err.Error() }

func (e *CallError) Unwrap() error { return e.Err }

// Client calls other hosts. It is safe for concurrent use.
type Client struct {
	http *http.Client
	key  string

	mu    sync.Mutex
	peers map[string]peerpbconnect.PeerClient
}

// NewClient returns a client that opens connections with dial.
func NewClient(dial func(ctx context.Context, network, addr string) (net.Conn, error), key string) *Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	bounded := func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(ctx, network, addr)
	}
	return &Client{
		http: &http.Client{Transport: &http.Transport{
			Protocols: protocols, DialContext: bounded,
			HTTP2: &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		}},
		key:   key,
		peers: make(map[string]peerpbconnect.PeerClient),
	}
}

func (c *Client) peer(address string) peerpbconnect.PeerClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, found := c.peers[address]
	if !found {
		p = peerpbconnect.NewPeerClient(c.http, "http://"+address, connect.WithInterceptors(sendKey(c.key)))
		c.peers[address] = p
	}
	return p
}

// sendKey adds the shared key to every call.
func sendKey(key string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set(keyHeader, key)
			return next(ctx, req)
		}
	}
}

// Execute runs a request on another host.
func (c *Client) Execute(ctx context.Context, address string, req *request.Request) (*request.Response, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	resp, err := c.peer(address).Execute(ctx, connect.NewRequest(requestToProto(req)))
	if err != nil {
		return nil, callError(address, err)
	}
	return responseFromProto(resp.Msg), nil
}

// Release ends a transaction on another host.
func (c *Client) Release(ctx context.Context, address, sender, upstream string, transaction uint64) error {
	_, err := c.peer(address).Release(ctx, connect.NewRequest(&peerpb.ReleaseRequest{
		Sender: sender, Upstream: upstream, Transaction: transaction,
	}))
	if err != nil {
		return callError(address, err)
	}
	return nil
}

// Cancel stops a request that another host runs.
func (c *Client) Cancel(ctx context.Context, address, sender string, id uint64) error {
	_, err := c.peer(address).Cancel(ctx, connect.NewRequest(&peerpb.CancelRequest{Sender: sender, RequestId: id}))
	if err != nil {
		return callError(address, err)
	}
	return nil
}

// Ping is one exchange of membership between two hosts.
type Ping struct {
	Self          membership.Host
	Rumours       []membership.Host
	ConfigVersion uint64
}

// Ping exchanges membership with another host.
func (c *Client) Ping(ctx context.Context, address string, p Ping) (Ping, error) {
	resp, err := c.peer(address).Ping(ctx, connect.NewRequest(&peerpb.PingRequest{
		Sender: hostToProto(p.Self), Rumours: hostsToProto(p.Rumours), ConfigVersion: p.ConfigVersion,
	}))
	if err != nil {
		return Ping{}, callError(address, err)
	}
	return Ping{
		Self: hostFromProto(resp.Msg.GetSelf()), Rumours: hostsFromProto(resp.Msg.GetRumours()),
		ConfigVersion: resp.Msg.GetConfigVersion(),
	}, nil
}

// ConfigUpdate is what brings a host up to a version: the changes above its
// own, or a snapshot.
type ConfigUpdate struct {
	Version  uint64
	Changes  [][]byte
	Snapshot []byte
}

// FetchConfig returns what another host has above a version.
func (c *Client) FetchConfig(ctx context.Context, address string, above uint64) (ConfigUpdate, error) {
	resp, err := c.peer(address).FetchConfig(ctx, connect.NewRequest(&peerpb.FetchConfigRequest{AboveVersion: above}))
	if err != nil {
		return ConfigUpdate{}, callError(address, err)
	}
	return ConfigUpdate{
		Version: resp.Msg.GetVersion(), Changes: resp.Msg.GetChanges(), Snapshot: resp.Msg.GetSnapshot(),
	}, nil
}

// callError tells a call that certainly was not sent from one that may have
// been. Only a failed dial is certain.
func callError(address string, err error) error {
	var op *net.OpError
	sent := !errors.As(err, &op) || op.Op != "dial"
	return &CallError{Address: address, Sent: sent, Err: err}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
