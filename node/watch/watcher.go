// Package watch runs a group controller against real members: it sends the
// probes, claims and promotions that the controller orders and lets requests
// wait until the view of the group satisfies a condition.
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
	// stepTime is the granularity of the controller's time while there is
	// something to decide.
	stepTime = 10 * time.Millisecond
	// confirmPace and freshPace are the shortest intervals between probes of a
	// member while requests wait for a confirmation, or for fresh knowledge.
	confirmPace = 2 * time.Millisecond
	freshPace   = 4 * time.Millisecond
	// awaitLimit bounds a probe that waits for a change. It delays a request
	// that needs fresh knowledge of the same member.
	awaitLimit = 20 * time.Millisecond
	// lateAfter is when an unanswered probe counts as failed. The probe stays
	// open, so that a slow answer still clears the failure.
	lateAfter = 250 * time.Millisecond
	// probeLimit ends a probe and its connection.
	probeLimit = 2 * time.Second
)

// Config describes one watcher.
type Config struct {
	Service string
	// Members are the members' names in order, Controls their connections.
	Members  []string
	Controls map[string]*upstream.Control
	// Claimant names this host and incarnation in claims.
	Claimant string
	Rank     int
	Timing   group.Timing
	Seed     uint64
	// Record is told of each promotion that this host completed.
	Record func(service string, term logpos.Term, primary string)
	Log    zerolog.Logger
}

// Watcher watches one group. It is safe for concurrent use.
type Watcher struct {
	cfg    Config
	origin time.Time

	// mu guards the fields below.
	mu      sync.Mutex
	ctl     *group.Controller
	changed chan struct{}
	demand  [demandKinds]int
	busy    map[string]bool
	sentAt  map[string]time.Duration
	primary string
	resting bool
	wake    chan struct{}
}

// New returns a watcher; Run starts it.
func New(cfg Config) *Watcher {
	return &Watcher{
		cfg:     cfg,
		origin:  time.Now(),
		ctl:     group.NewController(cfg.Members, cfg.Rank, cfg.Timing, cfg.Seed),
		changed: make(chan struct{}),
		wake:    make(chan struct{}, 1),
		busy:    make(map[string]bool),
		sentAt:  make(map[string]time.Duration),
	}
}

// Now returns the watcher's monotonic time.
func (w *Watcher) Now() time.Duration { return time.Since(w.origin) }

// Run drives the controller until the context ends.
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
		timer.Reset(w.step(ctx))
	}
}

// step ticks the controller and returns how long it may rest.
func (w *Watcher) step(ctx context.Context) time.Duration {
	w.mu.Lock()
	actions := w.ctl.Tick(w.Now())
	rest := w.ctl.NextTick(w.Now(), stepTime)
	w.resting = rest > stepTime
	w.mu.Unlock()
	w.perform(ctx, actions)
	return rest
}

// hurry ends a long rest; it needs mu held.
func (w *Watcher) hurry() {
	if !w.resting || w.ctl.NextTick(w.Now(), stepTime) > stepTime {
		return
	}
	w.resting = false
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Suspect hints that a request to the primary failed.
func (w *Watcher) Suspect() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ctl.Suspect(w.Now())
	w.hurry()
}

// Handover replaces the primary if it is among the members to avoid.
func (w *Watcher) Handover(ctx context.Context, avoid []string) {
	w.update(ctx, func(now time.Duration) []group.Action { return w.ctl.Handover(now, avoid) })
}

// SetRank changes this host's turn among the group's watchers.
func (w *Watcher) SetRank(rank int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ctl.SetRank(rank)
}

// SetTiming changes the delays of failure detection.
func (w *Watcher) SetTiming(t group.Timing) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ctl.SetTiming(t)
}

// Inspect calls f with the view. F must not keep the view nor block.
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

// Demand says which members are probed without pause while a request waits.
type Demand uint8

// The demands.
const (
	// ForConfirmation waits for the primary to report its replicas' progress.
	ForConfirmation Demand = iota
	// ForFreshness waits for proof of how current the members are.
	ForFreshness
	demandKinds
)

// Await blocks until done returns true or the context ends. Meanwhile the
// members that the demand concerns are probed without pause.
func (w *Watcher) Await(ctx context.Context, demand Demand, done func(v *group.View, now time.Duration) bool) error {
	ready, changed := w.check(done)
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
		if ready, changed = w.check(done); ready {
			return nil
		}
	}
}

// check asks for a condition and returns what is closed at the next change.
func (w *Watcher) check(done func(v *group.View, now time.Duration) bool) (bool, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return done(w.ctl.View(), w.Now()), w.changed
}

// addDemand changes the number of requests that wait; the first one starts
// probes at once.
func (w *Watcher) addDemand(ctx context.Context, d Demand, n int) {
	w.mu.Lock()
	w.demand[d] += n
	w.mu.Unlock()
	if n < 0 {
		return
	}
	for _, m := range w.cfg.Members {
		if w.demanded(m) {
			w.probe(context.WithoutCancel(ctx), m)
		}
	}
}

// demanded reports whether requests wait for news of a member.
func (w *Watcher) demanded(member string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.demand[ForFreshness] > 0 {
		return true
	}
	primary, found := w.ctl.View().Primary()
	return w.demand[ForConfirmation] > 0 && (!found || primary.Member == member)
}

// update runs f under the lock, wakes the requests that wait and performs the
// actions that f returns.
func (w *Watcher) update(ctx context.Context, f func(now time.Duration) []group.Action) {
	w.mu.Lock()
	actions := f(w.Now())
	close(w.changed)
	w.changed = make(chan struct{})
	w.notePrimary()
	w.hurry()
	w.mu.Unlock()
	w.perform(ctx, actions)
}

// notePrimary logs a change of primary; it needs mu held.
func (w *Watcher) notePrimary() {
	st, found := w.ctl.View().Primary()
	if !found || st.Member == w.primary {
		return
	}
	w.primary = st.Member
	eventlog.PrimaryChanged.Info(w.cfg.Log).
		Str("service", w.cfg.Service).Str("upstream", st.Member).Uint64("term", uint64(st.GrantedTerm)).Send()
}
