// Package watch runs a group controller against the members of a group: it
// performs the probes, claims and promotions that the controller returns, and
// lets requests wait until the view of the group satisfies a condition.
package watch

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/dotterelswitch/dotterelswitch/core/group"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/node/upstream"
)

const (
	// tickInterval is the controller's tick interval while it has pending
	// decisions.
	tickInterval = 10 * time.Millisecond
	// commitProbeInterval and freshnessProbeInterval are the minimum intervals
	// between probes of a member while requests wait with ForCommit, or with
	// ForFreshness only.
	commitProbeInterval    = 2 * time.Millisecond
	freshnessProbeInterval = 4 * time.Millisecond
	// awaitTimeout bounds a long-polling probe. Until it ends, a request that
	// needs a current status of the same member has to wait.
	awaitTimeout = 20 * time.Millisecond
	// slowProbeTimeout is when an unanswered probe is reported as failed. The
	// probe stays open, so that a slow answer still clears the failure.
	slowProbeTimeout = 250 * time.Millisecond
	// probeTimeout ends a probe and closes its connection.
	probeTimeout = 2 * time.Second
)

// Config configures a Watcher.
type Config struct {
	Service string
	// Members lists the members' names in order, and Controls holds their
	// control connections.
	Members  []string
	Controls map[string]*upstream.Control
	// Claimant identifies this host and its incarnation in claims.
	Claimant string
	Rank     int
	Timing   group.Timing
	Seed     uint64
	// OnPromoted is called after each promotion that this host completed; nil
	// if unused.
	OnPromoted func(service string, term logpos.Term, primary string)
	Log        zerolog.Logger
}

// Watcher monitors one group and fails over its primary. It is safe for
// concurrent use.
type Watcher struct {
	cfg       Config
	startedAt time.Time

	// mu guards the fields below.
	mu          sync.Mutex
	ctl         *group.Controller
	changed     chan struct{}
	demand      [demandKinds]int
	probing     map[string]bool
	probeSentAt map[string]time.Duration
	lastPrimary string
	sleeping    bool
	wake        chan struct{}
}

// New returns a watcher. Call Run to start it.
func New(cfg Config) *Watcher {
	return &Watcher{
		cfg:         cfg,
		startedAt:   time.Now(),
		ctl:         group.NewController(cfg.Members, cfg.Rank, cfg.Timing, cfg.Seed),
		changed:     make(chan struct{}),
		wake:        make(chan struct{}, 1),
		probing:     make(map[string]bool),
		probeSentAt: make(map[string]time.Duration),
	}
}

// Now returns the monotonic time since the watcher was created.
func (w *Watcher) Now() time.Duration { return time.Since(w.startedAt) }

// Run drives the controller until ctx is done.
func (w *Watcher) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-w.wake:
		case <-ctx.Done():
			return
		}
		timer.Reset(w.tick(ctx))
	}
}

// tick advances the controller and returns the time until its next tick.
func (w *Watcher) tick(ctx context.Context) time.Duration {
	w.mu.Lock()
	actions := w.ctl.Tick(w.Now())
	wait := w.ctl.NextTick(w.Now(), tickInterval)
	w.sleeping = wait > tickInterval
	w.mu.Unlock()
	w.perform(ctx, actions)
	return wait
}

// wakeIfDue ends a sleep of Run if the controller needs a tick earlier. The
// caller must hold mu.
func (w *Watcher) wakeIfDue() {
	if !w.sleeping || w.ctl.NextTick(w.Now(), tickInterval) > tickInterval {
		return
	}
	w.sleeping = false
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Suspect tells the controller that a request to the primary failed.
func (w *Watcher) Suspect() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ctl.Suspect(w.Now())
	w.wakeIfDue()
}

// Handover replaces the primary if it is among the excluded members.
func (w *Watcher) Handover(ctx context.Context, excluded []string) {
	w.update(ctx, func(now time.Duration) []group.Action { return w.ctl.Switchover(now, excluded) })
}

// SetRank sets this host's rank among the group's watchers, which determines its
// takeover delay.
func (w *Watcher) SetRank(rank int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ctl.SetRank(rank)
}

// SetTiming sets the timing of failure detection and promotion.
func (w *Watcher) SetTiming(t group.Timing) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ctl.SetTiming(t)
}

// Inspect calls f with the view while holding the lock. f must not block or
// retain the view.
func (w *Watcher) Inspect(f func(v *group.View, now time.Duration)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w.ctl.View(), w.Now())
}

// Promotions returns how many promotions this host has completed.
func (w *Watcher) Promotions() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ctl.Promotions()
}

// Demand selects the members that are probed continuously while a request waits.
type Demand uint8

const (
	// ForCommit waits until the primary reports that replicas have received
	// a write.
	ForCommit Demand = iota
	// ForFreshness waits for a current status of all members.
	ForFreshness
	demandKinds
)

// Await blocks until done returns true or ctx is done. Meanwhile the members
// selected by the demand are probed continuously.
func (w *Watcher) Await(ctx context.Context, demand Demand, done func(v *group.View, now time.Duration) bool) error {
	ready, changed := w.evaluate(done)
	if ready {
		return nil
	}
	w.addDemand(ctx, demand, 1)
	defer w.addDemand(ctx, demand, -1)
	for {
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
		if ready, changed = w.evaluate(done); ready {
			return nil
		}
	}
}

// evaluate returns the result of the condition and a channel that is closed at
// the next change of the view.
func (w *Watcher) evaluate(done func(v *group.View, now time.Duration) bool) (bool, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return done(w.ctl.View(), w.Now()), w.changed
}

// addDemand adds n to the number of waiting requests. If n is positive, it
// probes the selected members at once.
func (w *Watcher) addDemand(ctx context.Context, d Demand, n int) {
	w.mu.Lock()
	w.demand[d] += n
	w.mu.Unlock()
	if n < 0 {
		return
	}
	for _, m := range w.cfg.Members {
		if w.needsProbes(m) {
			w.probe(context.WithoutCancel(ctx), m)
		}
	}
}

// needsProbes reports whether requests wait for a status of a member.
func (w *Watcher) needsProbes(member string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.demand[ForFreshness] > 0 {
		return true
	}
	primary, found := w.ctl.View().Primary()
	return w.demand[ForCommit] > 0 && (!found || primary.Member == member)
}

// update runs f under the lock, wakes the waiting requests and performs the
// actions that f returns.
func (w *Watcher) update(ctx context.Context, f func(now time.Duration) []group.Action) {
	w.mu.Lock()
	actions := f(w.Now())
	close(w.changed)
	w.changed = make(chan struct{})
	w.logPrimaryChange()
	w.wakeIfDue()
	w.mu.Unlock()
	w.perform(ctx, actions)
}

// logPrimaryChange logs a change of the primary. The caller must hold mu.
func (w *Watcher) logPrimaryChange() {
	primary, found := w.ctl.View().Primary()
	if !found || primary.Member == w.lastPrimary {
		return
	}
	w.lastPrimary = primary.Member
	eventlog.PrimaryChanged.Info(w.cfg.Log).
		Str("service", w.cfg.Service).Str("upstream", primary.Member).Uint64("term", uint64(primary.GrantedTerm)).Send()
}
