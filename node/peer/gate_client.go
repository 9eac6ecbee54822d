package peer

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/peer/peerpb"
	"github.com/dotterelswitch/dotterelswitch/node/peer/peerpb/peerpbconnect"
	"github.com/dotterelswitch/dotterelswitch/node/registry"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

const (
	// gatePingAfter and gatePingTimeout detect dead connections that are idle;
	// Drop closes those with waiting statements sooner. Pings are rare because
	// hosts keep idle connections to most others of a large fleet.
	gatePingAfter   = 10 * time.Second
	gatePingTimeout = time.Second
	// gateDialTimeout bounds the dial to a gate while a caller waits. It covers a
	// few round trips between distant regions, of 40 ms, and leaves time to try all
	// gates of a member, within 400 ms, and then a direct connection during a
	// partition.
	gateDialTimeout = 120 * time.Millisecond
	// responseSlack is the time added to a statement's deadline for the
	// response's way back between regions.
	responseSlack = 60 * time.Millisecond
)

// GateClient sends jobs to other hosts. It is safe for concurrent use.
type GateClient struct {
	http  *http.Client
	owner string
	// ctx bounds the Attach streams.
	ctx context.Context
	// conns tracks the open connections.
	conns *openConns

	// mu guards gates.
	mu    sync.Mutex
	gates map[string]*gateConn
}

// gateConn is a client's state for one gate.
type gateConn struct {
	client peerpbconnect.GateClient
	// uncompressed is for answers whose large parts are compressed already, once for many
	// hosts.
	uncompressed peerpbconnect.GateClient
	// attached is set while an Attach stream is open or being opened.
	attached bool
}

// NewGateClient returns a client that opens connections with dial until ctx ends.
// Owner names this host and its incarnation.
func NewGateClient(ctx context.Context, dial replicaset.DialFunc, owner string) *GateClient {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	conns := newOpenConns()
	return &GateClient{
		owner: owner, ctx: ctx, conns: conns, gates: map[string]*gateConn{},
		http: &http.Client{Transport: &http.Transport{
			Protocols: protocols, DialContext: conns.track(boundedDial(dial, gateDialTimeout)),
			HTTP2: &http.HTTP2Config{SendPingTimeout: gatePingAfter, PingTimeout: gatePingTimeout},
		}},
	}
}

func (c *GateClient) gate(address string) *gateConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	g, found := c.gates[address]
	if !found {
		g = &gateConn{
			client:       peerpbconnect.NewGateClient(c.http, "http://"+address),
			uncompressed: peerpbconnect.NewGateClient(c.http, "http://"+address, connect.WithAcceptCompression("gzip", nil, nil)),
		}
		c.gates[address] = g
	}
	return g
}

// Run runs a job on another host. A job that must not be interrupted needs a
// context that does not end.
func (c *GateClient) Run(ctx context.Context, address, service string, j replicaset.Job) replicaset.Result {
	g := c.gate(address)
	if j.Kind == replicaset.JobBegin {
		c.attach(g)
	}
	ctx, cancel := context.WithDeadline(ctx, clock.Deadline(j.Request.Deadline+responseSlack))
	defer cancel()
	sentAt := clock.Now()
	resp, err := g.client.Run(ctx, connect.NewRequest(jobToProto(service, j)))
	if err != nil {
		return replicaset.Result{Err: &replicaset.GateError{Address: address, JobMayHaveArrived: mayHaveArrived(err), Err: err}}
	}
	return resultFromProto(resp.Msg, sentAt)
}

// attach keeps an Attach stream open. When the stream ends, the gate rolls back the
// transactions of this host.
func (c *GateClient) attach(g *gateConn) {
	c.mu.Lock()
	attached := g.attached
	g.attached = true
	c.mu.Unlock()
	if attached {
		return
	}
	go func() {
		defer func() {
			c.mu.Lock()
			g.attached = false
			c.mu.Unlock()
		}()
		stream, err := g.client.Attach(c.ctx, connect.NewRequest(&peerpb.AttachRequest{Owner: c.owner}))
		if err != nil {
			// The next transaction retries; the gate rolls back unused ones.
			return
		}
		for stream.Receive() {
		}
		_ = stream.Close()
	}()
}

// Listing returns another host's view of the store if it is newer than a
// revision.
func (c *GateClient) Listing(ctx context.Context, address string, above store.Revision) (store.Listing, error) {
	resp, err := c.gate(address).client.Listing(ctx, connect.NewRequest(&peerpb.ListingRequest{Above: uint64(above)}))
	if err != nil {
		return store.Listing{}, callError(address, err)
	}
	items, err := itemsFromProto(resp.Msg.GetItems())
	if err != nil {
		return store.Listing{}, callError(address, err)
	}
	return store.Listing{Revision: store.Revision(resp.Msg.GetRevision()), Items: items}, nil
}

// Configuration returns another host's configuration if it is newer than a
// version.
func (c *GateClient) Configuration(ctx context.Context, address string, above uint64) ([]byte, error) {
	resp, err := c.gate(address).client.Configuration(ctx, connect.NewRequest(&peerpb.ConfigurationRequest{Above: above}))
	if err != nil {
		return nil, callError(address, err)
	}
	return resp.Msg.GetDocument(), nil
}

// Follow subscribes to another host's changes of the store after a revision,
// until the context or the stream ends. With changesOnly it fails with
// registry.ErrChangesMissing if the other host lacks some of them.
func (c *GateClient) Follow(ctx context.Context, address string, after store.Revision, changesOnly bool, receive func(registry.Update)) error {
	stream, err := c.gate(address).uncompressed.Follow(ctx, connect.NewRequest(&peerpb.FollowRequest{
		After: uint64(after), ChangesOnly: changesOnly, AcceptsCompressedValues: true,
	}))
	if err != nil {
		return callError(address, err)
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		m := stream.Msg()
		items, err := itemsFromProto(m.GetItems())
		if err != nil {
			return callError(address, err)
		}
		receive(registry.Update{
			Listing:  store.Listing{Revision: store.Revision(m.GetRevision()), Items: items},
			Complete: m.GetComplete(), Age: time.Duration(m.GetAgeUs()) * time.Microsecond,
		})
	}
	err = stream.Err()
	switch {
	case err == nil:
		return &registry.RelayRefusedError{Err: errStreamEnded}
	case connect.CodeOf(err) == connect.CodeOutOfRange:
		return registry.ErrChangesMissing
	case connect.IsWireError(err):
		return &registry.RelayRefusedError{Err: callError(address, err)}
	default:
		return callError(address, err)
	}
}

// errStreamEnded reports a stream that the other host has closed without an
// error.
var errStreamEnded = errors.New("the other host has ended the stream")

// Drop closes the connections to an unresponsive host. Calls on them fail, and
// the next job opens a new connection.
func (c *GateClient) Drop(address string) { c.conns.closeAll(address) }

// Close closes idle connections.
func (c *GateClient) Close() { c.http.CloseIdleConnections() }
