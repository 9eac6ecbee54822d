// Package router takes a caller's request to the host that owns the right
// member, here or elsewhere, and tries again where that is safe.
package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/core/membership"
	"github.com/dotterelswitch/dotterelswitch/core/outcome"
	"github.com/dotterelswitch/dotterelswitch/core/retry"
	"github.com/dotterelswitch/dotterelswitch/core/route"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/owner"
	"github.com/dotterelswitch/dotterelswitch/node/peer"
	"github.com/dotterelswitch/dotterelswitch/node/request"
)

// Limits and delays of routing.
const (
	// maxWaitingWrites bounds the writes of one service that wait for a
	// primary on one host.
	maxWaitingWrites = 2048
	// retryRatio and retryReserve feed the budget of retries after a request
	// that may have cost an upstream something.
	retryRatio   = 0.1
	retryReserve = 100
)

// redirect spaces the attempts of a request that was refused before it ran.
var redirect = retry.Backoff{Base: 4 * time.Millisecond, Max: 60 * time.Millisecond}

// Fleet tells the router about other hosts and the configuration.
type Fleet interface {
	// Placement says which hosts own what.
	Placement() *membership.Placement
	// CallFailed notes that a call to a host had no answer, or was refused by
	// the host's machine.
	CallFailed(h membership.Host, refused bool)
	// Config returns the configuration in force.
	Config() *conf.Config
}

// Router routes the requests of one host. It is safe for concurrent use.
type Router struct {
	self   membership.Host
	sender string
	fleet  Fleet
	owner  *owner.Owner
	peers  *peer.Client
	log    zerolog.Logger
	origin time.Time
	nextID atomic.Uint64

	// mu guards the fields below and is never held while calling out.
	mu      sync.Mutex
	rng     *rand.Rand
	budget  *retry.Budget
	tables  map[string]*serviceTable
	version uint64
}

// serviceTable is the routing table of one service.
type serviceTable struct {
	table   *route.Table
	waiting int
}

// New returns a router. Sender names this incarnation of the host.
func New(self membership.Host, sender string, fleet Fleet, o *owner.Owner, peers *peer.Client, log zerolog.Logger) *Router {
	return &Router{
		self: self, sender: sender, fleet: fleet, owner: o, peers: peers, log: log,
		origin: time.Now(),
		rng:    rand.New(rand.NewPCG(membership.Score("router", self.ID), self.Incarnation)),
		budget: retry.NewBudget(retryRatio, retryReserve),
		tables: make(map[string]*serviceTable),
	}
}

func (r *Router) now() time.Duration { return time.Since(r.origin) }

// Sender returns the name under which this host's requests are known.
func (r *Router) Sender() string { return r.sender }

// Do runs a request that is not part of an open transaction.
func (r *Router) Do(ctx context.Context, req *request.Request) *request.Response {
	cfg := r.fleet.Config()
	svc, found := cfg.Service(req.Service)
	if !found {
		return request.Refused(outcome.Refuse(outcome.UnknownService, "%s", req.Service))
	}
	r.mu.Lock()
	r.budget.RecordAttempt()
	r.mu.Unlock()
	st := r.table(cfg, svc)
	if req.Write {
		return r.doPrimary(ctx, svc, st, req)
	}
	return r.doRead(ctx, svc, st, req)
}

// doPrimary sends a request to the primary, waiting for one if need be.
func (r *Router) doPrimary(ctx context.Context, svc conf.Service, st *serviceTable, req *request.Request) *request.Response {
	if !r.startWaiting(st) {
		return request.Refused(outcome.Refuse(outcome.QueueFull, "too many requests wait for the primary of %s", svc.Name).WithRetryAfter(time.Second))
	}
	defer r.endWaiting(st)
	var last *outcome.Refusal
	for attempt := 0; ; attempt++ {
		r.mu.Lock()
		member := st.table.WriteTarget(attempt, r.now())
		r.mu.Unlock()
		resp := r.try(ctx, svc, st, member, req)
		if resp.Refusal == nil || !r.mayRepeat(req, resp.Refusal) {
			r.noteWrite(st, resp)
			return resp
		}
		last = resp.Refusal
		if r.hopeless(st, attempt) || !r.pause(ctx, attempt, req.Deadline) {
			return request.Refused(exhausted(last))
		}
	}
}

// noteWrite records that the service has a primary.
func (r *Router) noteWrite(st *serviceTable, resp *request.Response) {
	if resp.Refusal != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	st.table.RecordWriteServed()
}

// hopeless reports whether the service has been without a primary for so long
// that a write is answered at once rather than held.
func (r *Router) hopeless(st *serviceTable, attempt int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return st.table.RecordWriteRefused(attempt, r.now())
}

// exhausted is the refusal of a request whose deadline came while it was being
// redirected.
func exhausted(last *outcome.Refusal) *outcome.Refusal {
	if last.Code == outcome.WrongMember {
		return outcome.Refuse(outcome.NoPrimary, "%s", last.Detail).WithRetryAfter(time.Second)
	}
	return last
}

// doRead tries the members in order of cost, then again after a pause.
func (r *Router) doRead(ctx context.Context, svc conf.Service, st *serviceTable, req *request.Request) *request.Response {
	for attempt := 0; ; attempt++ {
		r.mu.Lock()
		choices := st.table.ReadCandidates(r.now(), req.Staleness == 0)
		r.mu.Unlock()
		last := outcome.Refuse(outcome.NoPrimary, "service %s has no upstream that takes work", svc.Name)
		for _, c := range choices {
			req.Wait = c.Wait
			resp := r.try(ctx, svc, st, c.Upstream, req)
			if resp.Refusal == nil || !r.mayRepeat(req, resp.Refusal) {
				return resp
			}
			last = resp.Refusal
		}
		if !r.pause(ctx, attempt, req.Deadline) {
			return request.Refused(exhausted(last))
		}
	}
}

// mayRepeat reports whether the request may go to another member or again: it
// has not run, or a repeat is idempotent.
func (r *Router) mayRepeat(req *request.Request, refusal *outcome.Refusal) bool {
	switch refusal.Code {
	case outcome.WrongMember, outcome.Draining, outcome.BehindToken, outcome.TooStale:
		return true
	case outcome.UnknownOutcome:
		return req.Key != "" && r.takeRetry()
	default:
		return false
	}
}

func (r *Router) takeRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.TryRetry()
}

// pause waits before the next round; it fails when the deadline would pass.
func (r *Router) pause(ctx context.Context, attempt int, deadline time.Time) bool {
	r.mu.Lock()
	wait := redirect.Delay(attempt, r.rng)
	r.mu.Unlock()
	if time.Until(deadline) <= wait {
		return false
	}
	return clock.Sleep(ctx, wait)
}

func (r *Router) startWaiting(st *serviceTable) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if st.waiting >= maxWaitingWrites {
		return false
	}
	st.waiting++
	return true
}

func (r *Router) endWaiting(st *serviceTable) {
	r.mu.Lock()
	defer r.mu.Unlock()
	st.waiting--
}

// try sends the request to one member's owner and notes what that teaches.
func (r *Router) try(ctx context.Context, svc conf.Service, st *serviceTable, member string, req *request.Request) *request.Response {
	started := time.Now()
	attempt := *req
	resp := r.Send(ctx, svc, member, &attempt)
	r.mu.Lock()
	defer r.mu.Unlock()
	st.table.UpdatePrimary(resp.Hint.Primary, resp.Hint.Term)
	if resp.Refusal == nil {
		st.table.RecordLatency(member, time.Since(started), r.now())
	} else {
		st.table.RecordRefusal(member, r.now())
	}
	return resp
}
