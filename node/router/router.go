// Package router sends a caller's request to the host, local or remote, that
// owns a suitable member, and retries where that is safe.
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

const (
	// maxWaitingWrites bounds the requests of one service on one host that wait
	// for a primary.
	maxWaitingWrites = 2048
	// retryRatio is the number of retries per first attempt that the retry budget
	// allows. The budget applies to requests that may have run on an upstream.
	retryRatio = 0.1
	// retryReserve is the maximum number of unused retries that the budget holds.
	retryReserve = 100
)

// redirectBackoff is the backoff between the attempts of a request.
var redirectBackoff = retry.Backoff{Base: 4 * time.Millisecond, Max: 60 * time.Millisecond}

// Fleet provides the cluster membership and the configuration.
type Fleet interface {
	// Placement returns the assignment of members to hosts.
	Placement() *membership.Placement
	// CallFailed records that a call to a host failed. refused is true if the
	// connection was refused.
	CallFailed(h membership.Host, refused bool)
	// Config returns the active configuration.
	Config() *conf.Config
}

// Router routes the requests of one host. It is safe for concurrent use.
type Router struct {
	self      membership.Host
	sender    string
	fleet     Fleet
	owner     *owner.Owner
	peers     *peer.Client
	log       zerolog.Logger
	startedAt time.Time
	nextID    atomic.Uint64

	// mu guards the fields below and is not held during calls to other components.
	mu            sync.Mutex
	rng           *rand.Rand
	budget        *retry.Budget
	tables        map[string]*serviceTable
	tablesVersion uint64
}

// serviceTable is the routing table of one service.
type serviceTable struct {
	table         *route.Table
	waitingWrites int
}

// New returns a router. sender identifies this incarnation of the host.
func New(self membership.Host, sender string, fleet Fleet, o *owner.Owner, peers *peer.Client, log zerolog.Logger) *Router {
	return &Router{
		self: self, sender: sender, fleet: fleet, owner: o, peers: peers, log: log,
		startedAt: time.Now(),
		rng:       rand.New(rand.NewPCG(membership.Score("router", self.ID), self.Incarnation)),
		budget:    retry.NewBudget(retryRatio, retryReserve),
		tables:    make(map[string]*serviceTable),
	}
}

func (r *Router) now() time.Duration { return time.Since(r.startedAt) }

// Sender returns the identifier that this host's requests carry.
func (r *Router) Sender() string { return r.sender }

// Do executes a request that is not part of an open transaction.
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
	if req.NeedsPrimary {
		return r.doPrimary(ctx, svc, st, req)
	}
	return r.doRead(ctx, svc, st, req)
}

// doPrimary sends a request to the primary and retries while there is none.
func (r *Router) doPrimary(ctx context.Context, svc conf.Service, st *serviceTable, req *request.Request) *request.Response {
	if !r.beginWait(st) {
		return request.Refused(outcome.Refuse(outcome.QueueFull, "too many requests wait for the primary of %s", svc.Name).WithRetryAfter(time.Second))
	}
	defer r.endWait(st)
	var last *outcome.Refusal
	for attempt := 0; ; attempt++ {
		r.mu.Lock()
		member := st.table.WriteTarget(attempt, r.now())
		r.mu.Unlock()
		resp := r.attempt(ctx, svc, st, member, req)
		if resp.Refusal == nil || !r.mayRetry(req, resp.Refusal) {
			r.recordWriteServed(st, resp)
			return resp
		}
		last = resp.Refusal
		if r.recordWriteRefused(st, attempt) || !r.backOff(ctx, attempt, req.Deadline) {
			return request.Refused(deadlineRefusal(last))
		}
	}
}

// recordWriteServed records that the primary served a request, if it did.
func (r *Router) recordWriteServed(st *serviceTable, resp *request.Response) {
	if resp.Refusal != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	st.table.RecordWriteServed()
}

// recordWriteRefused records a refused write. It reports whether the service has
// had no primary for so long that writes no longer wait for one.
func (r *Router) recordWriteRefused(st *serviceTable, attempt int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return st.table.RecordWriteRefused(attempt, r.now())
}

// deadlineRefusal returns the refusal of a request that found no member before
// its deadline.
func deadlineRefusal(last *outcome.Refusal) *outcome.Refusal {
	if last.Code == outcome.WrongMember {
		return outcome.Refuse(outcome.NoPrimary, "%s", last.Detail).WithRetryAfter(time.Second)
	}
	return last
}

// doRead tries the candidates in order of cost. If none serves the request, it
// repeats this after a backoff, until the deadline.
func (r *Router) doRead(ctx context.Context, svc conf.Service, st *serviceTable, req *request.Request) *request.Response {
	for attempt := 0; ; attempt++ {
		r.mu.Lock()
		candidates := st.table.ReadCandidates(r.now(), req.MaxStaleness == 0)
		r.mu.Unlock()
		last := outcome.Refuse(outcome.NoPrimary, "service %s has no upstream that takes work", svc.Name)
		for _, c := range candidates {
			req.CatchUpWait = c.Wait
			resp := r.attempt(ctx, svc, st, c.Upstream, req)
			if resp.Refusal == nil || !r.mayRetry(req, resp.Refusal) {
				return resp
			}
			last = resp.Refusal
		}
		if !r.backOff(ctx, attempt, req.Deadline) {
			return request.Refused(deadlineRefusal(last))
		}
	}
}

// mayRetry reports whether the request may be sent again, possibly to another
// member: it has not run, or it is idempotent.
func (r *Router) mayRetry(req *request.Request, refusal *outcome.Refusal) bool {
	switch refusal.Code {
	case outcome.WrongMember, outcome.Draining, outcome.BehindToken, outcome.TooStale:
		return true
	case outcome.UnknownOutcome:
		return req.IdempotencyKey != "" && r.tryRetryBudget()
	default:
		return false
	}
}

func (r *Router) tryRetryBudget() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.TryRetry()
}

// backOff waits before the next attempt. It returns false if the deadline would
// pass first.
func (r *Router) backOff(ctx context.Context, attempt int, deadline time.Time) bool {
	r.mu.Lock()
	delay := redirectBackoff.Delay(attempt, r.rng)
	r.mu.Unlock()
	if time.Until(deadline) <= delay {
		return false
	}
	return clock.Sleep(ctx, delay)
}

func (r *Router) beginWait(st *serviceTable) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if st.waitingWrites >= maxWaitingWrites {
		return false
	}
	st.waitingWrites++
	return true
}

func (r *Router) endWait(st *serviceTable) {
	r.mu.Lock()
	defer r.mu.Unlock()
	st.waitingWrites--
}

// attempt sends the request to one member's owner and updates the routing table
// with the result.
func (r *Router) attempt(ctx context.Context, svc conf.Service, st *serviceTable, member string, req *request.Request) *request.Response {
	started := time.Now()
	sent := *req
	resp := r.Send(ctx, svc, member, &sent)
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
