// Package owner runs requests on the upstreams whose pools this host owns: it
// admits them to slots, lends them connections, and holds their answers until
// they are safe to give.
package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/dotterelswitch/dotterelswitch/core/admit"
	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/core/outcome"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/node/upstream"
	"github.com/dotterelswitch/dotterelswitch/node/watch"
)

const (
	// controlReserve is how many of a member's connections are left to the
	// control connections of the hosts that watch its group.
	controlReserve = 4
	// queuePerSlot bounds the requests that wait for one member.
	queuePerSlot = 64
	// maxUnconfirmedPerSlot bounds the writes that have run and wait for a
	// majority. It is what the slots run in about a tenth of a second.
	maxUnconfirmedPerSlot = 32
	// teamShare is the part of a full queue that one team may hold.
	teamShare = 0.5
	// initialCost is the slot time assumed before any was measured.
	initialCost = 2 * time.Millisecond
)

// pool holds the connections and the slots of one member.
type pool struct {
	spec    conf.Upstream
	target  upstream.Target
	watcher *watch.Watcher
	limit   int
	log     zerolog.Logger
	origin  time.Time

	// mu guards the fields below. It is never held while calling out.
	mu       sync.Mutex
	queue    *admit.Queue
	tickets  map[uint64]chan bool
	nextID   uint64
	idle     []*upstream.Conn
	open     int
	freed    chan struct{}
	draining bool
	cost     time.Duration
	// unconfirmed counts the writes that ran and wait for a majority.
	unconfirmed atomic.Int64
	active      int
	quiet       chan struct{}
}

func newPool(spec conf.Upstream, target upstream.Target, w *watch.Watcher, answerLimit int, log zerolog.Logger) *pool {
	return &pool{
		spec: spec, target: target, watcher: w, limit: answerLimit, log: log, origin: time.Now(),
		queue: admit.NewQueue(admit.Config{
			Slots: spec.Slots, MaxQueued: spec.Slots * queuePerSlot, MaxTeamShare: teamShare,
		}),
		tickets: make(map[uint64]chan bool),
		freed:   make(chan struct{}),
		quiet:   make(chan struct{}),
		cost:    initialCost,
	}
}

func (p *pool) now() time.Duration { return time.Since(p.origin) }

// capacity is how many pooled connections may be open.
func (p *pool) capacity() int { return max(p.spec.Connections-controlReserve, p.spec.Slots) }

// enter takes a slot, waiting in the fair queue if none is free.
func (p *pool) enter(ctx context.Context, team string, weight float64, deadline time.Time) *outcome.Refusal {
	p.mu.Lock()
	p.nextID++
	id := p.nextID
	verdict := p.queue.Offer(admit.Request{
		ID: id, Team: team, Weight: weight, Cost: p.cost, Deadline: p.now() + time.Until(deadline),
	}, p.now())
	if verdict != admit.Queued {
		p.mu.Unlock()
		return p.verdictRefusal(verdict)
	}
	ticket := make(chan bool, 1)
	p.tickets[id] = ticket
	p.mu.Unlock()
	return p.await(ctx, id, ticket)
}

func (p *pool) verdictRefusal(v admit.Decision) *outcome.Refusal {
	switch v {
	case admit.QueueFull:
		return outcome.Refuse(outcome.QueueFull, "upstream %s", p.spec.Name).WithRetryAfter(p.backlog())
	case admit.DeadlineUnreachable:
		return outcome.Refuse(outcome.DeadlineBeforeStart, "upstream %s", p.spec.Name).WithRetryAfter(p.backlog())
	default:
		return nil
	}
}

// backlog estimates how long the queue takes to empty.
func (p *pool) backlog() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cost * time.Duration(p.queue.Waiting()) / time.Duration(max(p.spec.Slots, 1))
}

func (p *pool) await(ctx context.Context, id uint64, ticket chan bool) *outcome.Refusal {
	select {
	case run := <-ticket:
		if run {
			return nil
		}
	case <-ctx.Done():
		p.mu.Lock()
		waiting := p.queue.Remove(id)
		delete(p.tickets, id)
		p.mu.Unlock()
		if !waiting && <-ticket {
			p.leave(0)
		}
	}
	return p.verdictRefusal(admit.DeadlineUnreachable)
}

// leave frees a slot after the given slot time and starts the next requests.
func (p *pool) leave(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if took > 0 {
		p.cost += (took - p.cost) / 8
	}
	start, late := p.queue.Done(took, p.now())
	for _, r := range start {
		p.answer(r.ID, true)
	}
	for _, r := range late {
		p.answer(r.ID, false)
	}
}

// answer needs mu held.
func (p *pool) answer(id uint64, run bool) {
	if ticket, found := p.tickets[id]; found {
		ticket <- run
		delete(p.tickets, id)
	}
}

// take returns a clean connection, opening one if the limit allows.
func (p *pool) take(ctx context.Context) (*upstream.Conn, *outcome.Refusal) {
	for {
		p.mu.Lock()
		if n := len(p.idle); n > 0 {
			c := p.idle[n-1]
			p.idle = p.idle[:n-1]
			p.mu.Unlock()
			return c, nil
		}
		if p.open < p.capacity() {
			p.open++
			p.mu.Unlock()
			return p.dial(ctx)
		}
		freed := p.freed
		p.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
			return nil, outcome.Refuse(outcome.QueueFull, "all connections of upstream %s are held by transactions", p.spec.Name)
		}
	}
}

func (p *pool) dial(ctx context.Context) (*upstream.Conn, *outcome.Refusal) {
	c, err := upstream.Open(ctx, p.target, p.limit)
	if err == nil {
		return c, nil
	}
	p.forget()
	p.watcher.Suspect()
	eventlog.ConnectionFailed.Warn(p.log).Err(err).Str("upstream", p.spec.Name).Send()
	return nil, outcome.Refuse(outcome.WrongMember, "upstream %s cannot be reached", p.spec.Name)
}

// forget notes that an open connection is gone.
func (p *pool) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.wake()
}

// wake needs mu held; it lets requests look for a connection again.
func (p *pool) wake() {
	close(p.freed)
	p.freed = make(chan struct{})
}

// put returns a connection. One that is not clean is closed, so that a late
// answer reaches nobody else.
func (p *pool) put(c *upstream.Conn) {
	p.mu.Lock()
	keep := c.Clean() && !p.draining
	if keep {
		p.idle = append(p.idle, c)
		p.wake()
	}
	p.mu.Unlock()
	if !keep {
		c.Close()
		p.forget()
	}
}

// stalled reports whether so many writes wait for replication that no more
// should run.
func (p *pool) stalled() bool {
	return p.unconfirmed.Load() >= int64(p.spec.Slots*maxUnconfirmedPerSlot)
}

// begin counts a request in; it fails once the pool is being handed over.
func (p *pool) begin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining {
		return false
	}
	p.active++
	return true
}

func (p *pool) finish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active--
	if p.draining && p.active == 0 {
		close(p.quiet)
	}
}

// drain refuses new requests and waits for those in progress, transactions
// included, until the context ends.
func (p *pool) drain(ctx context.Context) {
	p.mu.Lock()
	if !p.draining {
		p.draining = true
		if p.active == 0 {
			close(p.quiet)
		}
	}
	p.mu.Unlock()
	select {
	case <-p.quiet:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.Close()
	}
	p.open -= len(p.idle)
	p.idle = nil
}

// restPoll is how often a pool is asked whether anything runs.
const restPoll = 10 * time.Millisecond

// rest waits until no request and no transaction is in progress.
func (p *pool) rest(ctx context.Context) {
	for {
		p.mu.Lock()
		active := p.active
		p.mu.Unlock()
		if active == 0 {
			return
		}
		select {
		case <-time.After(restPoll):
		case <-ctx.Done():
			return
		}
	}
}

// prepare opens connections ahead of an event, up to one for each slot.
func (p *pool) prepare(ctx context.Context) {
	for range p.spec.Slots {
		p.mu.Lock()
		enough := p.open >= min(p.capacity(), p.spec.Slots) || p.draining
		if !enough {
			p.open++
		}
		p.mu.Unlock()
		if enough {
			return
		}
		if c, refusal := p.dial(ctx); refusal == nil {
			p.put(c)
		}
	}
}
