// Package limits enforces the teams' rate limits on one host. core/quota makes the
// decisions; this package sends the requests to the hosts that count a team (its
// counters) and queues the operations that wait for an answer.
package limits

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/quota"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

const (
	// requestTimeout bounds one request. It allows for a round trip between the most
	// distant regions, 40 ms, and for scheduling delay on a busy host.
	requestTimeout = 60 * time.Millisecond
	// maxAttempts is the number of requests to one counter before the next counter is
	// used; datagrams may be lost.
	maxAttempts = 2
	// unresponsiveBackoff is the time for which a counter that did not answer is skipped.
	// It is shorter than the restart of a process.
	unresponsiveBackoff = 400 * time.Millisecond
	// maxRequestAge is the age at which the answer to a request is dropped. The process
	// was paused then, and the grant belongs to a past window.
	maxRequestAge = 500 * time.Millisecond
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
	// Limit returns the limit of a team in the active configuration; false for an
	// unknown team.
	Limit func(team string) (quota.Limit, bool)
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
	// registered holds the names of the registered hosts.
	registered map[string]bool
	// placements caches the placement of each team for the current fleet.
	placements map[string]cachedPlacement
	// announcing holds the teams for which this host is announcing itself.
	announcing map[string]bool
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
	limit          quota.Limit
	validUntil     time.Duration
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
		fleet: quota.NewFleet(cfg.Self), registered: map[string]bool{}, announcing: map[string]bool{},
		waiting: map[string][]chan outcome{}, placements: map[string]cachedPlacement{}, unresponsiveUntil: map[string]time.Duration{}, exhaustedUntil: map[counterKey]time.Duration{},
	}
}

// SetFleet sets the registered hosts and their datagram addresses by name. This host
// takes over counting from others when it joins, or when a host leaves. It does not if
// it was still registered during its restart, as no other host counted in its place.
func (l *Limiter) SetFleet(hosts []quota.Host, addresses map[string]string) {
	now := clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.registered
	l.registered = make(map[string]bool, len(hosts))
	for i := range hosts {
		hosts[i].Address = addresses[hosts[i].Name]
		l.registered[hosts[i].Name] = true
	}
	self := l.cfg.Self.Name
	joins := l.registered[self] && !previous[self] && !l.cfg.RegisteredAtStart()
	if joins && l.cfg.Announce != nil {
		l.fleet.Join(now)
	}
	takesOver := joins
	for name := range previous {
		takesOver = takesOver || !l.registered[name]
	}
	if takesOver {
		l.counter.TakeOver(now)
	}
	l.fleet.SetRegistered(hosts, now)
	clear(l.placements)
	clear(l.exhaustedUntil)
}

// Leave records that this host is about to end its registration. It stops counting as
// soon as the registration has ended.
func (l *Limiter) Leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.Leave()
	clear(l.placements)
}

// Admit decides on one operation of a team and may wait for a grant. If it reports
// false, the operation is refused and may be retried after the returned time.
func (l *Limiter) Admit(ctx context.Context, team catalog.Team) (time.Duration, bool) {
	if !team.Limit.Bounded {
		return 0, true
	}
	now := clock.Now()
	l.mu.Lock()
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
	placement := l.placementOf(team, limit, now)
	if !slices.Contains(placement.Counters, l.cfg.Self.Name) {
		// The two hosts have different views of the fleet, or this one is joining.
		if len(placement.unacknowledged) > 0 {
			go l.announce(catalog.Team{Name: team, Limit: limit})
		}
		return quota.Grant{RetryAfter: requestTimeout, Counters: l.hostsNamed(placement.Counters, now)}
	}
	return l.counter.Acquire(team, limit, len(placement.Counters), wanted, now)
}

// placementOf is called with mu held.
func (l *Limiter) placementOf(team string, limit quota.Limit, now time.Duration) cachedPlacement {
	p, found := l.placements[team]
	if found && p.limit == limit && (p.validUntil == 0 || now < p.validUntil) {
		return p
	}
	p = cachedPlacement{limit: limit}
	p.Placement, p.unacknowledged = l.fleet.Place(team, limit, l.cfg.Tolerance, now)
	p.validUntil = l.fleet.ValidUntil(now)
	l.placements[team] = p
	return p
}

// startRequest requests grants for unconfirmed and waiting operations, unless a request
// is in progress. It is called with mu held.
func (l *Limiter) startRequest(team catalog.Team, placement cachedPlacement, now time.Duration) {
	wanted := l.local.NextRequest(team.Name, now)
	if wanted == 0 {
		return
	}
	if len(placement.unacknowledged) == 0 {
		l.request(team, placement, wanted, now)
		return
	}
	go func() {
		l.announce(team)
		now := clock.Now()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.request(team, l.placementOf(team.Name, team.Limit, now), wanted, now)
	}()
}

// request requests grants from this host, if it is a counter, and from the other
// counters. It is called with mu held.
func (l *Limiter) request(team catalog.Team, placement cachedPlacement, wanted int, now time.Duration) {
	if placement.Counters[0] != l.cfg.Self.Name {
		go l.requestGrants(team, placement.Counters, wanted, quota.Grant{})
		return
	}
	g := l.counter.Acquire(team.Name, team.Limit, len(placement.Counters), wanted, now)
	if g.Granted == wanted {
		l.applyGrant(team, g, now)
		return
	}
	l.exhaustedUntil[counterKey{team.Name, l.cfg.Self.Name}] = now + g.RetryAfter
	go l.requestGrants(team, placement.Counters[1:], wanted, g)
}

// requestGrants asks counters in turn for the operations that are not granted yet, and
// applies the sum. A host that is no longer a counter names those that are, which are
// asked too. Without any answer, waiting operations are refused and operations that have
// run stay unconfirmed.
func (l *Limiter) requestGrants(team catalog.Team, counters []string, wanted int, sum quota.Grant) {
	start := clock.Now()
	for i := 0; i < len(counters) && sum.Granted < wanted; i++ {
		g := l.requestFrom(counters[i], team.Name, wanted-sum.Granted)
		counters = l.learnCounters(counters, g.Counters)
		sum.Granted += g.Granted
		if sum.RetryAfter == 0 || (g.RetryAfter > 0 && g.RetryAfter < sum.RetryAfter) {
			sum.RetryAfter = g.RetryAfter
		}
	}
	now := clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now-start > maxRequestAge {
		l.answerWaiting(team.Name, 0, l.local.RequestFailed(team.Name, now), requestTimeout)
		return
	}
	if sum.Granted == wanted {
		sum.RetryAfter = 0
	}
	l.applyGrant(team, sum, now)
}

// applyGrant applies a grant and starts a request for operations that have arrived
// meanwhile. It is called with mu held.
func (l *Limiter) applyGrant(team catalog.Team, g quota.Grant, now time.Duration) {
	admitted, refused := l.local.ApplyGrant(team.Name, g, now)
	l.answerWaiting(team.Name, admitted, refused, g.RetryAfter)
	l.startRequest(team, l.placementOf(team.Name, team.Limit, now), now)
}

// answerWaiting answers the operations that have waited longest: first those that are
// admitted, then those that are refused. It is called with mu held.
func (l *Limiter) answerWaiting(team string, admitted, refused int, retryAfter time.Duration) {
	queue := l.waiting[team]
	for i := range min(admitted+refused, len(queue)) {
		queue[i] <- outcome{admitted: i < admitted, retryAfter: retryAfter}
	}
	l.waiting[team] = queue[min(admitted+refused, len(queue)):]
	if len(l.waiting[team]) == 0 {
		delete(l.waiting, team)
	}
}

// requestFrom requests a grant from one counter, with maxAttempts, unless the counter
// is to be skipped. Without an answer nothing is granted.
func (l *Limiter) requestFrom(counter, team string, wanted int) quota.Grant {
	address, skipFor := l.counterAddress(counter, team)
	if skipFor > 0 {
		return quota.Grant{RetryAfter: skipFor}
	}
	for range maxAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		g, answered := l.cfg.RequestGrant(ctx, address, team, wanted)
		cancel()
		if answered {
			l.markExhausted(counter, team, g)
			return g
		}
	}
	l.markUnresponsive(counter)
	return quota.Grant{RetryAfter: unresponsiveBackoff}
}

// markExhausted has a counter skipped for a team if it had not enough left to grant.
func (l *Limiter) markExhausted(counter, team string, g quota.Grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if g.RetryAfter > 0 {
		l.exhaustedUntil[counterKey{team, counter}] = clock.Now() + g.RetryAfter
	}
}

// counterAddress returns the datagram address of a counter, or the time for which the
// counter is to be skipped.
func (l *Limiter) counterAddress(counter, team string) (string, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	until := max(l.unresponsiveUntil[counter], l.exhaustedUntil[counterKey{team, counter}])
	host, known := l.fleet.Find(counter, now)
	switch {
	case now < until:
		return "", until - now
	case !known:
		return "", unresponsiveBackoff
	}
	delete(l.unresponsiveUntil, counter)
	delete(l.exhaustedUntil, counterKey{team, counter})
	return host.Address, 0
}
