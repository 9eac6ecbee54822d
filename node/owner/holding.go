package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/core/group"
	"github.com/dotterelswitch/dotterelswitch/core/membership"
	"github.com/dotterelswitch/dotterelswitch/core/outcome"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

const (
	// lockInterval is the pause between attempts to take a member's lock, and
	// between checks that it is still held.
	lockInterval = 100 * time.Millisecond
	// lockTimeout bounds one attempt.
	lockTimeout = time.Second
	// holdWait bounds how long a request waits for the pool to be held.
	holdWait = 300 * time.Millisecond
)

// holding is this host's claim on the pool of one member. The member itself
// is the arbiter: the pool is served only while the host's control connection
// holds an advisory lock on the member, so that two hosts that disagree about
// membership cannot both spend the member's connections.
type holding struct {
	owner   *Owner
	group   *watchedGroup
	spec    conf.Upstream
	pool    *pool
	key     int64
	ctx     context.Context
	release context.CancelFunc
	done    chan struct{}
	// trimmed is when the ledger was last trimmed; it belongs to run.
	trimmed time.Time

	// leaving is set while the member, a primary, is being replaced.
	leaving atomic.Bool

	mu     sync.Mutex
	locked bool
	turned chan struct{}
}

func newHolding(o *Owner, g *watchedGroup, u conf.Upstream) *holding {
	ctx, cancel := context.WithCancel(o.ctx)
	return &holding{
		owner: o, group: g, spec: u,
		pool: newPool(u, target(o.cfg, g.spec.Name, u), g.watcher, o.cfg.AnswerLimit, o.cfg.Log),
		key:  int64(membership.Score("pool", u.Name) >> 1),
		ctx:  ctx, release: cancel, done: make(chan struct{}), turned: make(chan struct{}),
	}
}

// run takes the lock and keeps it until the holding is released, then hands
// the pool over.
func (h *holding) run() {
	defer close(h.done)
	var generation uint64
	for h.ctx.Err() == nil {
		if h.serving() && !h.stillLocked(generation) {
			h.setLocked(false)
		}
		if !h.serving() {
			if got, g := h.tryLock(); got {
				generation = g
				h.setLocked(true)
				eventlog.PoolAcquired.Info(h.owner.cfg.Log).Str("upstream", h.spec.Name).Send()
			}
		}
		h.trimDue(time.Now())
		select {
		case <-time.After(lockInterval):
		case <-h.ctx.Done():
		}
	}
	h.handOver()
}

func (h *holding) stillLocked(generation uint64) bool {
	now, connected := h.group.controls[h.spec.Name].Generation()
	return connected && now == generation
}

// tryLock asks the member for the lock. When another holds it, the connections
// of hosts that are dead are ended, which frees the lock for the next attempt.
func (h *holding) tryLock() (bool, uint64) {
	ctx, cancel := context.WithTimeout(h.ctx, lockTimeout)
	defer cancel()
	control := h.group.controls[h.spec.Name]
	got, generation, err := control.TryLock(ctx, h.key)
	if err != nil || got {
		return got, generation
	}
	self := h.owner.cfg.Host
	_ = control.Terminate(ctx, applicationPrefix(self.ID), applicationName(self))
	for _, dead := range h.owner.deadHosts() {
		eventlog.PoolTakeover.Warn(h.owner.cfg.Log).Str("upstream", h.spec.Name).Str("from", dead.ID).Send()
		_ = control.Terminate(ctx, applicationPrefix(dead.ID), "")
	}
	return false, 0
}

// handOver finishes what runs and frees the lock for the next owner.
func (h *holding) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), h.owner.cfg.DrainFor)
	defer cancel()
	h.pool.drain(ctx)
	h.setLocked(false)
	unlock, done := context.WithTimeout(context.Background(), lockTimeout)
	defer done()
	_ = h.group.controls[h.spec.Name].Unlock(unlock, h.key)
	eventlog.PoolReleased.Info(h.owner.cfg.Log).Str("upstream", h.spec.Name).Send()
}

func (h *holding) setLocked(on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.locked = on
	close(h.turned)
	h.turned = make(chan struct{})
}

func (h *holding) serving() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.locked
}

func (h *holding) releasing() bool { return h.ctx.Err() != nil }

func (h *holding) finished() bool {
	select {
	case <-h.done:
		return true
	default:
		return false
	}
}

// unreachable reports whether probes of the member fail.
func (h *holding) unreachable() bool {
	failing := false
	h.group.watcher.Inspect(func(v *group.View, _ time.Duration) { failing = v.Failing(h.spec.Name) })
	return failing
}

// await returns the pool once it is held.
func (h *holding) await(ctx context.Context) (*pool, *outcome.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, holdWait)
	defer cancel()
	for {
		h.mu.Lock()
		locked, turned := h.locked, h.turned
		h.mu.Unlock()
		if locked {
			return h.pool, nil
		}
		if h.unreachable() {
			return nil, outcome.Refuse(outcome.WrongMember, "upstream %s cannot be reached", h.spec.Name)
		}
		select {
		case <-turned:
		case <-h.ctx.Done():
			return nil, outcome.Refuse(outcome.Draining, "the pool of %s is being handed over", h.spec.Name)
		case <-ctx.Done():
			return nil, outcome.Refuse(outcome.WrongMember, "the pool of %s is not held yet", h.spec.Name)
		}
	}
}
