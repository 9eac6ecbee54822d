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
	// gatePing and gatePingTimeout find a connection whose other end is gone
	// without a word and that nobody uses; one that statements wait on is given up
	// sooner, by Drop. Load pattern: each of 300 hosts reaches the gates of 60
	// members, 17,000 connections with a statement every few seconds; a ping a
	// second on each would be four for each statement of a busy fleet.
	gatePing        = 10 * time.Second
	gatePingTimeout = time.Second
	// gateDialTimeout bounds a connection to a gate, which a caller waits for: three
	// round trips between the regions that are furthest apart, 40 ms. Fault pattern:
	// the fleet is cut in two, and a host finds a third of its gates out of reach,
	// one statement after another. All three gates of a member are tried within 400
	// ms, which leaves a caller with 500 ms time for a connection of this host's own;
	// with 250 ms each its time was over first.
	gateDialTimeout = 120 * time.Millisecond
	// answerSlack is what an answer may take beyond the statement's own time:
	// the way back between regions.
	answerSlack = 60 * time.Millisecond
)

// GateClient sends jobs to other hosts. It is safe for concurrent use.
type GateClient struct {
	http  *http.Client
	owner string
	// ctx bounds the attachments.
	ctx context.Context
	// open are the connections that stand.
	open *openConns

	// mu guards gates.
	mu    sync.Mutex
	gates map[string]*gateConn
}

// gateConn is what a client keeps of one gate.
type gateConn struct {
	client peerpbconnect.GateClient
	// attached tells that a stream is open, or is being opened.
	attached bool
}

// NewGateClient returns a client that opens connections with dial until ctx
// ends. Owner names this host and its incarnation.
func NewGateClient(ctx context.Context, dial replicaset.DialFunc, owner string) *GateClient {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	open := newOpenConns()
	return &GateClient{
		owner: owner, ctx: ctx, open: open, gates: map[string]*gateConn{},
		http: &http.Client{Transport: &http.Transport{
			Protocols: protocols, DialContext: open.tracking(boundedDial(dial, gateDialTimeout)),
			HTTP2: &http.HTTP2Config{SendPingTimeout: gatePing, PingTimeout: gatePingTimeout},
		}},
	}
}

func (c *GateClient) gate(address string) *gateConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	g, found := c.gates[address]
	if !found {
		g = &gateConn{client: peerpbconnect.NewGateClient(c.http, "http://"+address)}
		c.gates[address] = g
	}
	return g
}

// Run runs a job on another host. A job that must not be broken off needs a
// context that does not end.
func (c *GateClient) Run(ctx context.Context, address, service string, j replicaset.Job) replicaset.Result {
	g := c.gate(address)
	if j.Kind == replicaset.JobBegin {
		c.attach(g)
	}
	ctx, cancel := context.WithDeadline(ctx, clock.Deadline(j.Work.EndBy+answerSlack))
	defer cancel()
	asked := clock.Now()
	resp, err := g.client.Run(ctx, connect.NewRequest(jobToProto(service, j)))
	if err != nil {
		return replicaset.Result{Err: &replicaset.GateError{Address: address, Sent: maySent(err), Err: err}}
	}
	return resultFromProto(resp.Msg, asked)
}

// attach keeps a stream open, whose end tells the gate that this host is gone.
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
			// The next transaction attaches anew; the gate ends what is unused.
			return
		}
		for stream.Receive() {
		}
		_ = stream.Close()
	}()
}

// Listing asks another host what it knows of the store above a revision.
func (c *GateClient) Listing(ctx context.Context, address string, above store.Revision) (store.Listing, error) {
	resp, err := c.gate(address).client.Listing(ctx, connect.NewRequest(&peerpb.ListingRequest{Above: uint64(above)}))
	if err != nil {
		return store.Listing{}, callError(address, err)
	}
	return store.Listing{Revision: store.Revision(resp.Msg.GetRevision()), Items: itemsFromProto(resp.Msg.GetItems())}, nil
}

// Configuration asks another host for its configuration if it is above a version.
func (c *GateClient) Configuration(ctx context.Context, address string, above uint64) ([]byte, error) {
	resp, err := c.gate(address).client.Configuration(ctx, connect.NewRequest(&peerpb.ConfigurationRequest{Above: above}))
	if err != nil {
		return nil, callError(address, err)
	}
	return resp.Msg.GetDocument(), nil
}

// Follow has another host tell what changes in the store after a revision, until
// the context or the stream ends.
func (c *GateClient) Follow(ctx context.Context, address string, after store.Revision, take func(registry.Update)) error {
	stream, err := c.gate(address).client.Follow(ctx, connect.NewRequest(&peerpb.FollowRequest{After: uint64(after)}))
	if err != nil {
		return callError(address, err)
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		m := stream.Msg()
		take(registry.Update{
			Listing:  store.Listing{Revision: store.Revision(m.GetRevision()), Items: itemsFromProto(m.GetItems())},
			Complete: m.GetComplete(),
		})
	}
	err = stream.Err()
	switch {
	case err == nil:
		return &registry.RelayRefusedError{Err: errStreamEnded}
	case connect.IsWireError(err):
		return &registry.RelayRefusedError{Err: callError(address, err)}
	default:
		return callError(address, err)
	}
}

// errStreamEnded is a stream that the other host has closed in order.
var errStreamEnded = errors.New("the other host has ended the stream")

// Drop closes the connections to a host that gives no sign of life. What waits on
// them fails, and the next job opens a new one.
func (c *GateClient) Drop(address string) { c.open.closeAll(address) }

// Close drops idle connections.
func (c *GateClient) Close() { c.http.CloseIdleConnections() }
