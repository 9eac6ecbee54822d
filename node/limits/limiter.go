// Package limits enforces the teams' rate limits on one host. core/quota makes the
// decisions; this package sends the requests to the hosts that count a team (its
// counters) and queues the operations that wait for an answer.
package limits

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/quota"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// RequestGrantFunc asks another host to grant operations of a team. It reports false
// if no answer came.
type RequestGrantFunc func(ctx context.Context, address, team string, wanted int) (quota.Grant, bool)

// AnnounceFunc announces this host to the host at an address, as a counter of a team.
// It returns the counters that the team has there without this host; false if no answer
// came.
type AnnounceFunc func(ctx context.Context, address, team string, self quota.Host) ([]quota.Host, bool)

// Config holds the settings and dependencies of a Limiter.
type Config struct {
	// Self is this host.
	Self         quota.Host
	Tolerance    quota.Tolerance
	RequestGrant RequestGrantFunc
	// Announce is used while this host joins; nil for a host that never does.
	Announce AnnounceFunc
	// RegisteredAtStart reports whether this host was still registered by an earlier
	// process when it started. It is called with the limiter's lock held.
	RegisteredAtStart func() bool
	// Lease returns the state of this host's registration; nil if it is always valid. It is
	// called with the limiter's lock held.
	Lease func(now time.Duration) quota.LeaseState
	// Limit returns the limit of a team in the active configuration; false for an
	// unknown team. It is called with the limiter's lock held, too.
	Limit func(team string) (quota.Limit, bool)
	Log   zerolog.Logger
}

// Limiter admits or refuses the operations of this host, and grants operations to other
// hosts as a counter. It is safe for concurrent use.
type Limiter struct {
	cfg Config

	// mu guards the fields below.
	mu sync.Mutex
	// local admits this host's operations.
	local *quota.Limiter
	// counter grants the operations that other hosts request from this one.
	counter *quota.Counter
	// waiting holds the operations that wait for a grant, by team, oldest first.
	waiting map[string][]chan outcome
	// fleet holds the hosts among which counters are chosen.
	fleet *quota.Fleet
	// everRegistered is set once this host has been registered.
	everRegistered bool
	// leaseLapsed is set once the lease has lapsed, until this host joins again.
	leaseLapsed bool
	// placements caches the placement of each team for the current fleet.
	placements map[string]cachedPlacement
	// announcing holds the teams for which this host is announcing itself.
	announcing map[string]bool
	// confirming holds the departed counters that are being asked whether they count.
	confirming map[counterKey]bool
	// unresponsiveUntil is the time until which a counter that did not answer is
	// skipped, by host name.
	unresponsiveUntil map[string]time.Duration
	// exhaustedUntil is the time until which a counter with nothing left to grant is
	// skipped for a team.
	exhaustedUntil map[counterKey]time.Duration
}

// cachedPlacement is a placement, the limit that it was computed for, and the time until
// which it is valid; zero for no end.
type cachedPlacement struct {
	quota.Placement
	// unacknowledged are the counters that must acknowledge this host before it counts.
	unacknowledged []string
	// losses are the counters that may be counting while cut off from this host.
	losses     quota.Losses
	limit      quota.Limit
	validUntil time.Duration
}

// counterKey identifies a team at one of its counters.
type counterKey struct{ team, counter string }

// outcome is the answer to an operation that waited for a grant.
type outcome struct {
	admitted   bool
	retryAfter time.Duration
}

// New returns a limiter that knows no other hosts until SetFleet is called.
func New(cfg Config) *Limiter {
	cfg.Tolerance = cfg.Tolerance.WithDefaults()
	now := clock.Now()
	return &Limiter{
		cfg: cfg, local: quota.NewLimiter(cfg.Tolerance, now), counter: quota.NewCounter(cfg.Tolerance, now),
		fleet: quota.NewFleet(cfg.Self), announcing: map[string]bool{}, confirming: map[counterKey]bool{},
		waiting: map[string][]chan outcome{}, placements: map[string]cachedPlacement{}, unresponsiveUntil: map[string]time.Duration{}, exhaustedUntil: map[counterKey]time.Duration{},
	}
}

// SetFleet sets the registered hosts and their datagram addresses by name. This host
// takes over counting from others when it joins, or when a host leaves. It does not join
// if it was still registered during its restart, as no other host counted in its place.
func (l *Limiter) SetFleet(hosts []quota.Host, addresses map[string]string) {
	now := clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	registered := false
	for i := range hosts {
		hosts[i].Address = addresses[hosts[i].Name]
		registered = registered || hosts[i].Name == l.cfg.Self.Name
	}
	joins := registered && !l.everRegistered && !l.cfg.RegisteredAtStart()
	l.everRegistered = l.everRegistered || registered
	if joins && l.cfg.Announce != nil {
		l.fleet.Join(now)
	}
	if l.fleet.SetRegistered(hosts, now) || joins {
		l.counter.TakeOver(now)
	}
	l.placementsChanged(now)
	clear(l.exhaustedUntil)
}

// Leave records that this host is about to end its registration. It stops counting as
// soon as the registration has ended.
func (l *Limiter) Leave() {
	now := clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.Leave()
	l.placementsChanged(now)
}

// Admit decides on one operation of a team and may wait for a grant. If it reports
// false, the operation is refused and may be retried after the returned time.
func (l *Limiter) Admit(ctx context.Context, team catalog.Team) (time.Duration, bool) {
	if !team.Limit.Bounded {
		return 0, true
	}
	now := clock.Now()
	l.mu.Lock()
	l.leaseState(now)
	placement := l.placementOf(team.Name, team.Limit, now)
	d := l.local.Admit(team.Name, team.Limit, placement.MaxUnconfirmed, now)
	var ch chan outcome
	if d.Verdict == quota.Pending {
		ch = make(chan outcome, 1)
		l.waiting[team.Name] = append(l.waiting[team.Name], ch)
	}
	if d.Verdict != quota.Refused {
		l.startRequest(team, placement, now)
	}
	l.mu.Unlock()
	if ch == nil {
		return d.RetryAfter, d.Verdict == quota.Admitted
	}
	select {
	case o := <-ch:
		return o.retryAfter, o.admitted
	case <-ctx.Done():
		// The entry stays in the queue; its answer is discarded.
		return 0, false
	}
}

// Refund returns an admitted operation that no member has run.
func (l *Limiter) Refund(team catalog.Team) {
	if !team.Limit.Bounded {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.local.Refund(team.Name)
}

// UsageByTeam returns the usage of every team that is active on this host.
func (l *Limiter) UsageByTeam() map[string]quota.Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.local.UsageByTeam()
}

// CountersOf returns the names of a team's counters, in the order in which this host
// requests grants from them.
func (l *Limiter) CountersOf(team string) []string {
	limit, known := l.cfg.Limit(team)
	if !known {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.placementOf(team, limit, clock.Now()).Counters
}

// Acquire grants operations that another host requests from this one. A host that is
// not a counter of the team names those that are.
func (l *Limiter) Acquire(team string, wanted int) quota.Grant {
	limit, known := l.cfg.Limit(team)
	if !known {
		// The requesting host has a newer configuration than this one.
		return quota.Grant{RetryAfter: unresponsiveBackoff}
	}
	now := clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	lease := l.leaseState(now)
	placement := l.placementOf(team, limit, now)
	if wanted == 0 && lease >= quota.LeaseLapsed {
		return l.declineWithoutLease(team, limit, now)
	}
	counters := l.fleet.AnsweringCounters(placement.Placement, team, limit, l.cfg.Tolerance, now)
	if slices.Contains(counters, l.cfg.Self.Name) {
		return l.counter.Acquire(team, limit, quota.AllotmentOf(l.cfg.Self.Name, counters, placement.losses, lease), wanted, now)
	}
	if l.fleet.Suspended(now) {
		return quota.Grant{RetryAfter: requestTimeout}
	}
	// The two hosts have different views of the fleet, or this one is joining.
	l.fleet.Decline(now)
	if len(placement.unacknowledged) > 0 {
		go l.announce(catalog.Team{Name: team, Limit: limit})
	}
	return quota.Grant{RetryAfter: requestTimeout, Counters: l.hostsNamed(placement.Counters, now)}
}

// leaseState returns the state of this host's lease. Others may have counted in its place
// once the lease has lapsed, so that the host has to join when it is registered again. It
// is called with mu held.
func (l *Limiter) leaseState(now time.Duration) quota.LeaseState {
	if l.cfg.Lease == nil {
		return quota.LeaseValid
	}
	state := l.cfg.Lease(now)
	switch {
	case state >= quota.LeaseLapsed && !l.leaseLapsed:
		l.leaseLapsed = true
		eventlog.CounterStopped.Warn(l.cfg.Log).Send()
	case state == quota.LeaseValid && l.leaseLapsed:
		l.leaseLapsed = false
		if l.cfg.Announce != nil {
			l.fleet.Join(now)
		}
		l.counter.TakeOver(now)
		l.placementsChanged(now)
	}
	return state
}

// declineWithoutLease answers the question whether this host counts a team, while others
// may count in its place. It is called with mu held.
func (l *Limiter) declineWithoutLease(team string, limit quota.Limit, now time.Duration) quota.Grant {
	others := l.fleet.CountersWithout(l.cfg.Self.Name, team, limit, l.cfg.Tolerance, now)
	return quota.Grant{RetryAfter: unresponsiveBackoff, Counters: l.hostsNamed(others, now)}
}

// placementsChanged discards the cached placements, and the buckets of the teams that this
// host does not count any more. It is called with mu held.
func (l *Limiter) placementsChanged(now time.Duration) {
	clear(l.placements)
	for _, team := range l.counter.Teams() {
		limit, known := l.cfg.Limit(team)
		if !known || !l.countsForOthers(team, limit, now) {
			l.counter.Forget(team)
		}
	}
}

// countsForOthers reports whether this host grants operations of a team to others. It is
// called with mu held.
func (l *Limiter) countsForOthers(team string, limit quota.Limit, now time.Duration) bool {
	p := l.placementOf(team, limit, now).Placement
	return slices.Contains(l.fleet.AnsweringCounters(p, team, limit, l.cfg.Tolerance, now), l.cfg.Self.Name)
}

// placementOf is called with mu held.
func (l *Limiter) placementOf(team string, limit quota.Limit, now time.Duration) cachedPlacement {
	p, found := l.placements[team]
	if !found || p.limit != limit || (p.validUntil != 0 && now >= p.validUntil) {
		p = cachedPlacement{limit: limit}
		p.Placement, p.unacknowledged = l.fleet.Place(team, limit, l.cfg.Tolerance, now)
		p.losses = l.fleet.Losses(team, limit, l.cfg.Tolerance, now)
		p.validUntil = l.fleet.ValidUntil(now)
		l.placements[team] = p
	}
	for _, counter := range l.fleet.DepartedCounters(p.Placement, team, limit, l.cfg.Tolerance, now) {
		l.startConfirmation(counter, team)
	}
	return p
}
