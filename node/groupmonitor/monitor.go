// Package groupmonitor monitors one database group and fails over its primary, for
// hosts that serve PostgreSQL callers. It runs a group.Controller: it performs the
// probes, term requests and promotions that the controller decides on, and lets
// requests wait until the view of the group satisfies a condition.
package groupmonitor

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
	// commitProbeInterval is the minimum interval between probes of a member
	// while requests wait with ForCommit.
	commitProbeInterval = 2 * time.Millisecond
	// freshnessProbeInterval is the same while requests wait with ForFreshness
	// only.
	freshnessProbeInterval = 4 * time.Millisecond
	// longPollTimeout bounds a long-polling probe. It delays requests that need a
	// current status of the same member.
	longPollTimeout = 20 * time.Millisecond
	// slowProbeTimeout is when an unanswered probe is reported as failed. The
	// probe stays open, so that a slow answer still clears the failure.
	slowProbeTimeout = 250 * time.Millisecond
	// probeTimeout ends a probe and closes its connection.
	probeTimeout = 2 * time.Second
)

// Config configures a Monitor.
type Config struct {
	Service string
	// Members lists the members' names in order, and Controls holds their
	// control connections.
	Members  []string
	Controls map[string]*upstream.Control
	// Candidate identifies this host and its incarnation in requests for terms.
	Candidate string
	// Rank is this host's rank among the monitors of the group; see SetRank.
	Rank   int
	Timing group.Timing
	Seed   uint64
	// OnPromoted is called after each promotion that this host completed; nil
	// if unused.
	OnPromoted func(service string, term logpos.Term, primary string)
	Log        zerolog.Logger
}

// Monitor tracks the state of one group and fails over its primary. It is safe
// for concurrent use.
type Monitor struct {
	cfg       Config
	startedAt time.Time

	// mu guards the fields below.
	mu  sync.Mutex
	ctl *group.Controller
	// changed is closed and replaced when the view changes.
	changed chan struct{}
	// demand counts the waiting requests by kind of demand.
	demand [demandKinds]int
	// probing holds the members with a probe in flight.
	probing     map[string]bool
	probeSentAt map[string]time.Duration
	lastPrimary string
	// sleeping is set while Run waits longer than tickInterval; wake ends that
	// wait.
	sleeping bool
	wake     chan struct{}
}

// New returns a monitor. Call Run to start it.
func New(cfg Config) *Monitor {
	return &Monitor{
		cfg:         cfg,
		startedAt:   time.Now(),
		ctl:         group.NewController(cfg.Members, cfg.Rank, cfg.Timing, cfg.Seed),
		changed:     make(chan struct{}),
		wake:        make(chan struct{}, 1),
		probing:     make(map[string]bool),
		probeSentAt: make(map[string]time.Duration),
	}
}

// Now returns the monotonic time since the monitor was created.
func (m *Monitor) Now() time.Duration { return time.Since(m.startedAt) }

// Run drives the controller until ctx is done.
func (m *Monitor) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-m.wake:
		case <-ctx.Done():
			return
		}
		timer.Reset(m.tick(ctx))
	}
}

// tick advances the controller and returns the time until its next tick.
func (m *Monitor) tick(ctx context.Context) time.Duration {
	m.mu.Lock()
	actions := m.ctl.Tick(m.Now())
	wait := m.ctl.NextTick(m.Now(), tickInterval)
	m.sleeping = wait > tickInterval
	m.mu.Unlock()
	m.perform(ctx, actions)
	return wait
}

// wakeIfDue ends a sleep of Run if the controller needs a tick earlier. The
// caller must hold mu.
func (m *Monitor) wakeIfDue() {
	if !m.sleeping || m.ctl.NextTick(m.Now(), tickInterval) > tickInterval {
		return
	}
	m.sleeping = false
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Suspect reports a failed request to the primary to the controller.
func (m *Monitor) Suspect() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ctl.Suspect(m.Now())
	m.wakeIfDue()
}

// Switchover replaces the primary if it is among the excluded members.
func (m *Monitor) Switchover(ctx context.Context, excluded []string) {
	m.update(ctx, func(now time.Duration) []group.Action { return m.ctl.Switchover(now, excluded) })
}

// SetRank sets this host's rank among the group's monitors, which determines its
// takeover delay.
func (m *Monitor) SetRank(rank int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ctl.SetRank(rank)
}

// SetTiming sets the timing of failure detection and promotion.
func (m *Monitor) SetTiming(t group.Timing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ctl.SetTiming(t)
}

// Inspect calls f with the view while holding the lock. f must not block or
// retain the view.
func (m *Monitor) Inspect(f func(v *group.View, now time.Duration)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.ctl.View(), m.Now())
}

// Promotions returns how many promotions this host has completed.
func (m *Monitor) Promotions() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ctl.Promotions()
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

// WaitUntil blocks until done returns true or ctx is done. Meanwhile the members
// selected by the demand are probed continuously.
func (m *Monitor) WaitUntil(ctx context.Context, demand Demand, done func(v *group.View, now time.Duration) bool) error {
	ready, changed := m.evaluate(done)
	if ready {
		return nil
	}
	m.addDemand(ctx, demand, 1)
	defer m.addDemand(ctx, demand, -1)
	for {
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
		if ready, changed = m.evaluate(done); ready {
			return nil
		}
	}
}

// evaluate returns the result of the condition and a channel that is closed at
// the next change of the view.
func (m *Monitor) evaluate(done func(v *group.View, now time.Duration) bool) (bool, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return done(m.ctl.View(), m.Now()), m.changed
}

// addDemand adds n to the number of waiting requests. If n is positive, it
// probes the selected members at once.
func (m *Monitor) addDemand(ctx context.Context, d Demand, n int) {
	m.mu.Lock()
	m.demand[d] += n
	m.mu.Unlock()
	if n < 0 {
		return
	}
	for _, member := range m.cfg.Members {
		if m.needsProbes(member) {
			m.probe(context.WithoutCancel(ctx), member)
		}
	}
}

// needsProbes reports whether requests wait for a status of a member.
func (m *Monitor) needsProbes(member string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.demand[ForFreshness] > 0 {
		return true
	}
	primary, found := m.ctl.View().Primary()
	return m.demand[ForCommit] > 0 && (!found || primary.Member == member)
}

// update runs f with mu held, wakes the waiting requests and performs the
// actions that f returns.
func (m *Monitor) update(ctx context.Context, f func(now time.Duration) []group.Action) {
	m.mu.Lock()
	actions := f(m.Now())
	close(m.changed)
	m.changed = make(chan struct{})
	m.logPrimaryChange()
	m.wakeIfDue()
	m.mu.Unlock()
	m.perform(ctx, actions)
}

// logPrimaryChange logs a change of the primary. The caller must hold mu.
func (m *Monitor) logPrimaryChange() {
	primary, found := m.ctl.View().Primary()
	if !found || primary.Member == m.lastPrimary {
		return
	}
	m.lastPrimary = primary.Member
	eventlog.PrimaryChanged.Info(m.cfg.Log).
		Str("service", m.cfg.Service).Str("upstream", primary.Member).Uint64("term", uint64(primary.GrantedTerm)).Send()
}
