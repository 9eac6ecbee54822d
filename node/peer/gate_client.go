package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/peer/peerpb"
	"github.com/dotterelswitch/dotterelswitch/node/peer/peerpb/peerpbconnect"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

const (
	// gatePing and gatePingTimeout find a gate that went silent: its
	// connections carry statements all the time, so that a second without one
	// is suspect, and no statement takes much longer.
	gatePing        = time.Second
	gatePingTimeout = time.Second
	// gateDialTimeout bounds a connection to a gate, which a caller waits for:
	// several round trips between regions.
	gateDialTimeout = 250 * time.Millisecond
	// answerSlack is what an answer may take beyond the statement's own time:
	// the way back between regions.
	answerSlack = 60 * time.Millisecond
)

// GateClient sends jobs to other hosts. It implements replicaset.Remote and is
// safe for concurrent use.
type GateClient struct {
	http  *http.Client
	owner string
	// ctx bounds the attachments.
	ctx context.Context

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
	return &GateClient{
		owner: owner, ctx: ctx, gates: map[string]*gateConn{},
		http: &http.Client{Transport: &http.Transport{
			Protocols: protocols, DialContext: boundedDial(dial, gateDialTimeout),
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

// Run implements replicaset.Remote.
func (c *GateClient) Run(ctx context.Context, address, service string, j replicaset.Job) replicaset.Result {
	g := c.gate(address)
	if j.Kind == replicaset.JobBegin {
		c.attach(g)
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), clock.Deadline(j.Work.EndBy+answerSlack))
	defer cancel()
	resp, err := g.client.Run(ctx, connect.NewRequest(jobToProto(service, j)))
	if err != nil {
		return replicaset.Result{Err: &replicaset.GateError{Address: address, Sent: maySent(err), Err: err}}
	}
	return resultFromProto(resp.Msg)
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
func (c *GateClient) Listing(ctx context.Context, address string, above uint64) (store.Listing, error) {
	resp, err := c.gate(address).client.Listing(ctx, connect.NewRequest(&peerpb.ListingRequest{Above: above}))
	if err != nil {
		return store.Listing{}, callError(address, err)
	}
	l := store.Listing{Revision: resp.Msg.GetRevision()}
	for _, i := range resp.Msg.GetItems() {
		l.Items = append(l.Items, store.Item{Key: i.GetKey(), Value: i.GetValue(), Revision: i.GetRevision()})
	}
	return l, nil
}

// Close drops idle connections.
func (c *GateClient) Close() { c.http.CloseIdleConnections() }
