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

	"github.com/dotterelswitch/dotterelswitch/node/peer/peerpb"
	"github.com/dotterelswitch/dotterelswitch/node/peer/peerpb/peerpbconnect"
	"github.com/dotterelswitch/dotterelswitch/node/request"
)

const (
	// pingAfter and pingTimeout find connections that lead nowhere while
	// membership has not noticed. They are long, because a host has idle
	// connections to many others.
	pingAfter   = 15 * time.Second
	pingTimeout = 2 * time.Second
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
	peers map[string]*peerConn
}

// peerConn is what a client keeps of one host.
type peerConn struct {
	client peerpbconnect.PeerClient
	// calls ends when the host is believed dead.
	calls context.Context
	fail  context.CancelCauseFunc
}

// errDead is why calls to a host end when it is believed dead.
var errDead = errors.New("the host is believed dead")

// NewClient returns a client that opens connections with dial.
func NewClient(dial func(ctx context.Context, network, addr string) (net.Conn, error), key string) *Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &Client{
		http: &http.Client{Transport: &http.Transport{
			Protocols: protocols, DialContext: boundedDial(dial, dialTimeout),
			HTTP2: &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		}},
		key:   key,
		peers: make(map[string]*peerConn),
	}
}

// boundedDial returns a dial function that gives up after a time.
func boundedDial(dial func(ctx context.Context, network, addr string) (net.Conn, error), limit time.Duration) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		return dial(ctx, network, addr)
	}
}

func (c *Client) peer(address string) *peerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, found := c.peers[address]
	if !found {
		p = &peerConn{client: peerpbconnect.NewPeerClient(c.http, "http://"+address, connect.WithInterceptors(sendKey(c.key)))}
		p.calls, p.fail = context.WithCancelCause(context.Background())
		c.peers[address] = p
	}
	return p
}

// Fail ends the calls in progress to a host that is believed dead, so that
// they get their final answer at once. Later calls try anew.
func (c *Client) Fail(address string) {
	c.mu.Lock()
	p, found := c.peers[address]
	delete(c.peers, address)
	c.mu.Unlock()
	if found {
		p.fail(errDead)
	}
}

// bind returns a context that also ends when the host is believed dead.
func (p *peerConn) bind(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(p.calls, func() { cancel(errDead) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
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
	p := c.peer(address)
	ctx, release := p.bind(ctx)
	defer release()
	resp, err := p.client.Execute(ctx, connect.NewRequest(requestToProto(req)))
	if err != nil {
		return nil, callError(address, err)
	}
	return responseFromProto(resp.Msg), nil
}

// Release ends a transaction on another host.
func (c *Client) Release(ctx context.Context, address, sender, upstream string, transaction uint64) error {
	_, err := c.peer(address).client.Release(ctx, connect.NewRequest(&peerpb.ReleaseRequest{
		Sender: sender, Upstream: upstream, Transaction: transaction,
	}))
	if err != nil {
		return callError(address, err)
	}
	return nil
}

// Cancel stops a request that another host runs.
func (c *Client) Cancel(ctx context.Context, address, sender string, id uint64) error {
	_, err := c.peer(address).client.Cancel(ctx, connect.NewRequest(&peerpb.CancelRequest{Sender: sender, RequestId: id}))
	if err != nil {
		return callError(address, err)
	}
	return nil
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
	resp, err := c.peer(address).client.FetchConfig(ctx, connect.NewRequest(&peerpb.FetchConfigRequest{AboveVersion: above}))
	if err != nil {
		return ConfigUpdate{}, callError(address, err)
	}
	return ConfigUpdate{
		Version: resp.Msg.GetVersion(), Changes: resp.Msg.GetChanges(), Snapshot: resp.Msg.GetSnapshot(),
	}, nil
}

// OfferChange tells another host of an accepted change, given as JSON, and
// returns the host's version afterwards.
func (c *Client) OfferChange(ctx context.Context, address string, change []byte) (uint64, error) {
	resp, err := c.peer(address).client.OfferChange(ctx, connect.NewRequest(&peerpb.OfferChangeRequest{Change: change}))
	if err != nil {
		return 0, callError(address, err)
	}
	return resp.Msg.GetVersion(), nil
}

// callError tells a call that certainly was not sent from one that may have
// been. Only a failed dial is certain.
func callError(address string, err error) error {
	return &CallError{Address: address, Sent: maySent(err), Err: err}
}

// maySent reports whether a call that failed may have reached the other host.
// Only a failed dial is certain.
func maySent(err error) bool {
	var op *net.OpError
	return !errors.As(err, &op) || op.Op != "dial"
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
