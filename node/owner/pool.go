// Package owner runs requests on the upstreams whose pools this host owns: it
// admits them to slots, assigns them connections, and delays their answers until
// they are safe to return. It serves hosts with PostgreSQL callers (package host);
// hosts of the users' platform (package entry) use replicaset instead.
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
	"github.com/dotterelswitch/dotterelswitch/node/groupmonitor"
	"github.com/dotterelswitch/dotterelswitch/node/upstream"
)

const (
	// reservedControlConns is how many of a member's connections are reserved for
	// the control connections of the hosts that monitor its group.
	reservedControlConns = 4
	// maxQueuedPerSlot bounds the requests that wait for one member, per slot.
	maxQueuedPerSlot = 64
	// maxUnconfirmedPerSlot bounds the writes that have run on one member and are
	// not yet confirmed by a majority, per slot.
	maxUnconfirmedPerSlot = 32
	// maxTeamQueueShare is the fraction of the queue that one team may occupy.
	maxTeamQueueShare = 0.5
	// initialSlotTime is the estimated slot time of a request before any has
	// completed.
	initialSlotTime = 2 * time.Millisecond
	// slotTimeSmoothing is the inverse weight of a new sample in the moving
	// average of slot times.
	slotTimeSmoothing = 8
)

// pool holds the connections and the slots of one member.
type pool struct {
	spec        conf.Upstream
	target      upstream.Target
	monitor     *groupmonitor.Monitor
	answerLimit int
	log         zerolog.Logger
	startedAt   time.Time

	// mu guards the fields below, except unconfirmed. It is not held during calls
	// to other components.
	mu    sync.Mutex
	queue *admit.Queue
	// tickets holds a channel for each queued request, which receives true when
	// the request gets a slot and false when it is refused.
	tickets map[uint64]chan bool
	nextID  uint64
	idle    []*upstream.Conn
	// open counts the connections, including those being opened.
	open int
	// freed is closed and replaced when a connection becomes available.
	freed    chan struct{}
	draining bool
	slotTime time.Duration
	// unconfirmed counts the writes that have run and are not yet confirmed by a
	// majority.
	unconfirmed atomic.Int64
	// active counts the running requests and open transactions.
	active int
	// drained is closed when the pool is draining and no request is active.
	drained chan struct{}
}

func newPool(spec conf.Upstream, target upstream.Target, monitor *groupmonitor.Monitor, answerLimit int, log zerolog.Logger) *pool {
	return &pool{
		spec: spec, target: target, monitor: monitor, answerLimit: answerLimit, log: log, startedAt: time.Now(),
		queue: admit.NewQueue(admit.Config{
			Slots: spec.Slots, MaxQueued: spec.Slots * maxQueuedPerSlot, MaxTeamShare: maxTeamQueueShare,
		}),
		tickets:  make(map[uint64]chan bool),
		freed:    make(chan struct{}),
		drained:  make(chan struct{}),
		slotTime: initialSlotTime,
	}
}

func (p *pool) now() time.Duration { return time.Since(p.startedAt) }

// capacity is the maximum number of open pooled connections.
func (p *pool) capacity() int { return max(p.spec.Connections-reservedControlConns, p.spec.Slots) }

// acquireSlot takes a slot, waiting in the fair queue if none is free.
func (p *pool) acquireSlot(ctx context.Context, team string, weight float64, deadline time.Time) *outcome.Refusal {
	p.mu.Lock()
	p.nextID++
	id := p.nextID
	decision := p.queue.Offer(admit.Request{
		ID: id, Team: team, Weight: weight, Cost: p.slotTime, Deadline: p.now() + time.Until(deadline),
	}, p.now())
	if decision != admit.Queued {
		p.mu.Unlock()
		return p.decisionRefusal(decision)
	}
	ticket := make(chan bool, 1)
	p.tickets[id] = ticket
	p.mu.Unlock()
	return p.awaitSlot(ctx, id, ticket)
}

func (p *pool) decisionRefusal(decision admit.Decision) *outcome.Refusal {
	switch decision {
	case admit.QueueFull:
		return outcome.Refuse(outcome.QueueFull, "upstream %s", p.spec.Name).WithRetryAfter(p.backlog())
	case admit.DeadlineUnreachable:
		return outcome.Refuse(outcome.DeadlineBeforeStart, "upstream %s", p.spec.Name).WithRetryAfter(p.backlog())
	default:
		return nil
	}
}

// backlog estimates the time until the queue is empty.
func (p *pool) backlog() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slotTime * time.Duration(p.queue.Waiting()) / time.Duration(max(p.spec.Slots, 1))
}

func (p *pool) awaitSlot(ctx context.Context, id uint64, ticket chan bool) *outcome.Refusal {
	select {
	case admitted := <-ticket:
		if admitted {
			return nil
		}
	case <-ctx.Done():
		p.mu.Lock()
		waiting := p.queue.Remove(id)
		delete(p.tickets, id)
		p.mu.Unlock()
		if !waiting && <-ticket {
			p.releaseSlot(0)
		}
	}
	return p.decisionRefusal(admit.DeadlineUnreachable)
}

// releaseSlot frees a slot that was in use for the given time and starts queued
// requests. A time of zero is not counted in the estimate.
func (p *pool) releaseSlot(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if took > 0 {
		p.slotTime += (took - p.slotTime) / slotTimeSmoothing
	}
	started, expired := p.queue.Done(took, p.now())
	for _, r := range started {
		p.resolveTicket(r.ID, true)
	}
	for _, r := range expired {
		p.resolveTicket(r.ID, false)
	}
}

// resolveTicket admits or refuses a queued request; it needs mu held.
func (p *pool) resolveTicket(id uint64, admitted bool) {
	if ticket, found := p.tickets[id]; found {
		ticket <- admitted
		delete(p.tickets, id)
	}
}

// acquireConn returns a clean connection, opening one if the limit allows.
func (p *pool) acquireConn(ctx context.Context) (*upstream.Conn, *outcome.Refusal) {
	for {
		p.mu.Lock()
		if n := len(p.idle); n > 0 {
			c := p.idle[n-1]
			p.idle = p.idle[:n-1]
			p.mu.Unlock()
			if c.Clean() {
				return c, nil
			}
			c.Close()
			p.connClosed()
			continue
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
	c, err := upstream.Open(ctx, p.target, p.answerLimit)
	if err == nil {
		return c, nil
	}
	p.connClosed()
	p.monitor.Suspect()
	eventlog.ConnectionFailed.Warn(p.log).Err(err).Str("upstream", p.spec.Name).Send()
	return nil, outcome.Refuse(outcome.WrongMember, "upstream %s cannot be reached", p.spec.Name)
}

// connClosed removes a closed connection from the count of open ones.
func (p *pool) connClosed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.signalFreed()
}

// signalFreed wakes the requests that wait for a connection; it needs mu held.
func (p *pool) signalFreed() {
	close(p.freed)
	p.freed = make(chan struct{})
}

// releaseConn returns a connection to the pool. A connection that is not clean is
// closed, so that a late answer cannot reach another request.
func (p *pool) releaseConn(c *upstream.Conn) {
	clean := c.Clean()
	p.mu.Lock()
	keep := clean && !p.draining
	if keep {
		p.idle = append(p.idle, c)
		p.signalFreed()
	}
	p.mu.Unlock()
	if !keep {
		c.Close()
		p.connClosed()
	}
}

// replicationStalled reports whether so many writes are unconfirmed that no more
// should run.
func (p *pool) replicationStalled() bool {
	return p.unconfirmed.Load() >= int64(p.spec.Slots*maxUnconfirmedPerSlot)
}

// beginRequest counts a request as active. It fails once the pool is draining.
func (p *pool) beginRequest() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining {
		return false
	}
	p.active++
	return true
}

func (p *pool) endRequest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active--
	if p.draining && p.active == 0 {
		close(p.drained)
	}
}

// drain refuses new requests, waits for active ones, transactions included, until
// the context ends, and closes the idle connections.
func (p *pool) drain(ctx context.Context) {
	p.mu.Lock()
	if !p.draining {
		p.draining = true
		if p.active == 0 {
			close(p.drained)
		}
	}
	p.mu.Unlock()
	select {
	case <-p.drained:
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

// idlePollInterval is how often awaitIdle checks for active requests.
const idlePollInterval = 10 * time.Millisecond

// awaitIdle waits until no request or transaction is active.
func (p *pool) awaitIdle(ctx context.Context) {
	for {
		p.mu.Lock()
		active := p.active
		p.mu.Unlock()
		if active == 0 {
			return
		}
		select {
		case <-time.After(idlePollInterval):
		case <-ctx.Done():
			return
		}
	}
}

// warmUp opens connections in advance, up to one for each slot.
func (p *pool) warmUp(ctx context.Context) {
	for range p.spec.Slots {
		p.mu.Lock()
		warm := p.open >= min(p.capacity(), p.spec.Slots) || p.draining
		if !warm {
			p.open++
		}
		p.mu.Unlock()
		if warm {
			return
		}
		if c, refusal := p.dial(ctx); refusal == nil {
			p.releaseConn(c)
		}
	}
}
