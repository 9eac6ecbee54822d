package limits

import (
	"context"

	"github.com/dotterelswitch/dotterelswitch/core/quota"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// maxDepartureAttempts is the number of unanswered requests after which a host without
// registration is taken to be gone. It exceeds maxAttempts: a host that is taken to be
// gone by mistake counts beside the one that replaces it.
const maxDepartureAttempts = 4

// startConfirmation asks a departed counter whether it still counts a team, unless that is
// under way. It is called with mu held.
func (l *Limiter) startConfirmation(counter quota.Host, team string) {
	key := counterKey{team: team, counter: counter.Name}
	if l.confirming[key] {
		return
	}
	l.confirming[key] = true
	go func() {
		l.confirmDeparture(counter, team)
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.confirming, key)
	}()
}

// confirmDeparture asks a departed counter whether it still counts a team, by a request
// for no operations.
func (l *Limiter) confirmDeparture(counter quota.Host, team string) {
	var g quota.Grant
	answered := attempt(maxDepartureAttempts, func(ctx context.Context) (ok bool) {
		g, ok = l.cfg.RequestGrant(ctx, counter.Address, team, 0)
		return ok
	})
	if answered {
		l.departureConfirmed(counter.Name, team, g)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fleet.ConfirmGone(counter.Name) {
		l.replaceDeparted()
	}
}

// departureConfirmed applies the answer of a counter, if its registration has ended. A
// host that does not count names the counters that it knows.
func (l *Limiter) departureConfirmed(counter, team string, g quota.Grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fleet.ConfirmDeparture(counter, team, len(g.Counters) == 0, clock.Now()) {
		l.replaceDeparted()
	}
}

// replaceDeparted has other hosts count in place of a departed one. Tokens that have
// accrued until now may have been granted by it. It is called with mu held.
func (l *Limiter) replaceDeparted() {
	now := clock.Now()
	l.counter.TakeOver(now)
	l.placementsChanged(now)
}
