// Package peer implements the RPCs between hosts with connect-go over HTTP/2. The
// Peer service connects hosts with PostgreSQL callers; the Gate service connects
// hosts of the users' platform.
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
	// pingAfter and pingTimeout detect dead connections to hosts that gossip still
	// considers alive. Pings are rare because a host keeps idle connections to
	// many others.
	pingAfter   = 15 * time.Second
	pingTimeout = 2 * time.Second
	dialTimeout = 500 * time.Millisecond
)

// keyHeader carries the key that hosts and operators share.
const keyHeader = "Dotterelswitch-Key"

// CallError reports a call without an answer.
type CallError struct {
	Address string
	// MayHaveArrived is set if the call may have reached the other host.
	MayHaveArrived bool
	Err            error
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

// peerConn is a client's state for one host.
type peerConn struct {
	client peerpbconnect.PeerClient
	// callsCtx is cancelled when the host is considered dead.
	callsCtx    context.Context
	cancelCalls context.CancelCauseFunc
}

// errHostDead is the cause with which calls to a dead host are cancelled.
var errHostDead = errors.New("the host is believed dead")

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

// boundedDial returns a dial function with a timeout.
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
		p.callsCtx, p.cancelCalls = context.WithCancelCause(context.Background())
		c.peers[address] = p
	}
	return p
}

// CancelCalls cancels the calls in progress to a host that is considered dead, so
// that they fail immediately. Later calls open a new connection.
func (c *Client) CancelCalls(address string) {
	c.mu.Lock()
	p, found := c.peers[address]
	delete(c.peers, address)
	c.mu.Unlock()
	if found {
		p.cancelCalls(errHostDead)
	}
}

// bind returns a context that is also cancelled when the host is considered dead.
func (p *peerConn) bind(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(p.callsCtx, func() { cancel(errHostDead) })
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

// Cancel stops a request on another host.
func (c *Client) Cancel(ctx context.Context, address, sender string, id uint64) error {
	_, err := c.peer(address).client.Cancel(ctx, connect.NewRequest(&peerpb.CancelRequest{Sender: sender, RequestId: id}))
	if err != nil {
		return callError(address, err)
	}
	return nil
}

// ConfigUpdate brings a host up to a version: with the changes above its own
// version, or with a snapshot.
type ConfigUpdate struct {
	Version  uint64
	Changes  [][]byte
	Snapshot []byte
}

// FetchConfig returns another host's configuration changes above a version.
func (c *Client) FetchConfig(ctx context.Context, address string, above uint64) (ConfigUpdate, error) {
	resp, err := c.peer(address).client.FetchConfig(ctx, connect.NewRequest(&peerpb.FetchConfigRequest{AboveVersion: above}))
	if err != nil {
		return ConfigUpdate{}, callError(address, err)
	}
	return ConfigUpdate{
		Version: resp.Msg.GetVersion(), Changes: resp.Msg.GetChanges(), Snapshot: resp.Msg.GetSnapshot(),
	}, nil
}

// OfferChange sends another host an accepted change, given as JSON, and returns
// the host's version afterwards.
func (c *Client) OfferChange(ctx context.Context, address string, change []byte) (uint64, error) {
	resp, err := c.peer(address).client.OfferChange(ctx, connect.NewRequest(&peerpb.OfferChangeRequest{Change: change}))
	if err != nil {
		return 0, callError(address, err)
	}
	return resp.Msg.GetVersion(), nil
}

// callError wraps the error of a failed call.
func callError(address string, err error) error {
	return &CallError{Address: address, MayHaveArrived: mayHaveArrived(err), Err: err}
}

// mayHaveArrived reports whether a failed call may have reached the other host.
// Only a failed dial rules that out.
func mayHaveArrived(err error) bool {
	var op *net.OpError
	return !errors.As(err, &op) || op.Op != "dial"
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
