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
	// lockInterval is the interval between attempts to take a member's lock, and
	// between checks that it is still held.
	lockInterval = 100 * time.Millisecond
	// lockTimeout bounds one attempt.
	lockTimeout = time.Second
	// claimWait bounds how long a request waits for the lock.
	claimWait = 300 * time.Millisecond
)

// poolClaim is this host's claim on the pool of one member. The pool serves
// requests only while the host's control connection holds an advisory lock on the
// member: two hosts with different views of the membership would otherwise open
// more connections than the member allows.
type poolClaim struct {
	owner   *Owner
	group   *monitoredGroup
	spec    conf.Upstream
	pool    *pool
	lockKey int64
	ctx     context.Context
	release context.CancelFunc
	done    chan struct{}
	// trimmedAt is when the ledger was last trimmed; only run accesses it.
	trimmedAt time.Time

	// switchingOver is set while a draining primary is being replaced.
	switchingOver atomic.Bool

	mu          sync.Mutex
	locked      bool
	lockChanged chan struct{}
}

func newPoolClaim(o *Owner, g *monitoredGroup, u conf.Upstream) *poolClaim {
	ctx, cancel := context.WithCancel(o.ctx)
	return &poolClaim{
		owner: o, group: g, spec: u,
		pool:    newPool(u, target(o.cfg, g.spec.Name, u), g.monitor, o.cfg.AnswerLimit, o.cfg.Log),
		lockKey: int64(membership.Score("pool", u.Name) >> 1),
		ctx:     ctx, release: cancel, done: make(chan struct{}), lockChanged: make(chan struct{}),
	}
}

// run takes the lock and holds it until the claim is released, then drains the
// pool.
func (c *poolClaim) run() {
	defer close(c.done)
	var generation uint64
	for c.ctx.Err() == nil {
		if c.serving() && !c.stillLocked(generation) {
			c.setLocked(false)
		}
		if !c.serving() {
			if got, g := c.tryLock(); got {
				generation = g
				c.setLocked(true)
				eventlog.PoolAcquired.Info(c.owner.cfg.Log).Str("upstream", c.spec.Name).Send()
			}
		}
		c.trimDue(time.Now())
		select {
		case <-time.After(lockInterval):
		case <-c.ctx.Done():
		}
	}
	c.drainAndRelease()
}

// stillLocked reports whether the control connection that took the lock is still
// open.
func (c *poolClaim) stillLocked(generation uint64) bool {
	current, connected := c.group.controls[c.spec.Name].Generation()
	return connected && current == generation
}

// tryLock tries to take the member's lock. If another host holds it, tryLock
// terminates the connections of dead hosts and of earlier incarnations of this
// host, which frees their locks for the next attempt.
func (c *poolClaim) tryLock() (bool, uint64) {
	ctx, cancel := context.WithTimeout(c.ctx, lockTimeout)
	defer cancel()
	control := c.group.controls[c.spec.Name]
	got, generation, err := control.TryLock(ctx, c.lockKey)
	if err != nil || got {
		return got, generation
	}
	self := c.owner.cfg.Host
	_ = control.Terminate(ctx, applicationPrefix(self.ID), applicationName(self))
	for _, dead := range c.owner.deadHosts() {
		eventlog.PoolTakeover.Warn(c.owner.cfg.Log).Str("upstream", c.spec.Name).Str("from", dead.ID).Send()
		_ = control.Terminate(ctx, applicationPrefix(dead.ID), "")
	}
	return false, 0
}

// drainAndRelease drains the pool and releases the lock to the next owner.
func (c *poolClaim) drainAndRelease() {
	ctx, cancel := context.WithTimeout(context.Background(), c.owner.cfg.DrainTimeout)
	defer cancel()
	c.pool.drain(ctx)
	c.setLocked(false)
	unlockCtx, cancelUnlock := context.WithTimeout(context.Background(), lockTimeout)
	defer cancelUnlock()
	_ = c.group.controls[c.spec.Name].Unlock(unlockCtx, c.lockKey)
	eventlog.PoolReleased.Info(c.owner.cfg.Log).Str("upstream", c.spec.Name).Send()
}

func (c *poolClaim) setLocked(locked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.locked = locked
	close(c.lockChanged)
	c.lockChanged = make(chan struct{})
}

func (c *poolClaim) serving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.locked
}

func (c *poolClaim) releasing() bool { return c.ctx.Err() != nil }

func (c *poolClaim) finished() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// unreachable reports whether probes of the member fail.
func (c *poolClaim) unreachable() bool {
	failing := false
	c.group.monitor.Inspect(func(v *group.View, _ time.Duration) { failing = v.Failing(c.spec.Name) })
	return failing
}

// awaitPool returns the pool once the lock is held.
func (c *poolClaim) awaitPool(ctx context.Context) (*pool, *outcome.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, claimWait)
	defer cancel()
	for {
		c.mu.Lock()
		locked, lockChanged := c.locked, c.lockChanged
		c.mu.Unlock()
		if locked {
			return c.pool, nil
		}
		if c.unreachable() {
			return nil, outcome.Refuse(outcome.WrongMember, "upstream %s cannot be reached", c.spec.Name)
		}
		select {
		case <-lockChanged:
		case <-c.ctx.Done():
			return nil, outcome.Refuse(outcome.Draining, "the pool of %s is being handed over", c.spec.Name)
		case <-ctx.Done():
			return nil, outcome.Refuse(outcome.WrongMember, "the pool of %s is not held yet", c.spec.Name)
		}
	}
}
