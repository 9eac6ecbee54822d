package limits

import (
	"context"
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
	allotment := quota.AllotmentOf(l.cfg.Self.Name, placement.Counters, placement.losses, l.leaseState(now))
	g := l.counter.Acquire(team.Name, team.Limit, allotment, wanted, now)
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
	var g quota.Grant
	answered := attempt(maxAttempts, func(ctx context.Context) (ok bool) {
		g, ok = l.cfg.RequestGrant(ctx, address, team, wanted)
		return ok
	})
	if !answered {
		l.markUnresponsive(counter)
		return quota.Grant{RetryAfter: unresponsiveBackoff}
	}
	l.markExhausted(counter, team, g)
	l.departureConfirmed(counter, team, g)
	return g
}

// attempt makes a call until it is answered, with requestTimeout each time. It reports
// false if no attempt was answered.
func attempt(attempts int, call func(ctx context.Context) (answered bool)) bool {
	for range attempts {
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		answered := call(ctx)
		cancel()
		if answered {
			return true
		}
	}
	return false
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
	host, known := l.fleet.FindCounter(counter, now)
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
