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

// maxAnnounceRounds bounds the rounds of one announcement. The answers to a round may
// name further counters that have to acknowledge this host.
const maxAnnounceRounds = 3

// Announced handles the announcement of a joining host, and returns the counters that
// the team has without it.
func (l *Limiter) Announced(team string, host quota.Host) []quota.Host {
	limit, known := l.cfg.Limit(team)
	now := clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fleet.Announce(host, now) {
		l.placementsChanged(now)
	}
	l.fleet.Decline(now)
	if !known {
		return nil
	}
	return l.hostsNamed(l.fleet.CountersWithout(host.Name, team, limit, l.cfg.Tolerance, now), now)
}

// announce announces this joining host to the counters that the team has without it,
// unless that is under way.
func (l *Limiter) announce(team catalog.Team) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.announcing[team.Name] {
		return
	}
	l.announcing[team.Name] = true
	defer delete(l.announcing, team.Name)
	for range maxAnnounceRounds {
		missing := l.placementOf(team.Name, team.Limit, clock.Now()).unacknowledged
		if len(missing) == 0 {
			return
		}
		l.mu.Unlock()
		var wg sync.WaitGroup
		for _, counter := range missing {
			wg.Go(func() { l.announceTo(counter, team.Name) })
		}
		wg.Wait()
		l.mu.Lock()
	}
}

// announceTo announces this host to one counter, with maxAttempts, unless the counter
// did not answer a short time ago.
func (l *Limiter) announceTo(counter, team string) {
	address, skipFor := l.announceAddress(counter)
	if skipFor > 0 {
		return
	}
	var counters []quota.Host
	answered := attempt(maxAttempts, func(ctx context.Context) (ok bool) {
		counters, ok = l.cfg.Announce(ctx, address, team, l.cfg.Self)
		return ok
	})
	if !answered {
		l.markUnresponsive(counter)
		return
	}
	l.acknowledged(counter, counters)
}

// acknowledged applies the answer to an announcement. This host's grants start then, so
// tokens that have accrued before may have been granted by the other host.
func (l *Limiter) acknowledged(by string, counters []quota.Host) {
	now := clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.Learn(counters, now)
	l.fleet.Acknowledge(by)
	l.counter.TakeOver(now)
	l.placementsChanged(now)
}

// learnCounters adds the counters that another host has named to the fleet, and returns
// those to ask with them.
func (l *Limiter) learnCounters(ask []string, counters []quota.Host) []string {
	if len(counters) == 0 {
		return ask
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	if l.fleet.Learn(counters, now) {
		l.placementsChanged(now)
	}
	for _, c := range counters {
		if c.Name != l.cfg.Self.Name && !slices.Contains(ask, c.Name) {
			ask = append(slices.Clip(ask), c.Name)
		}
	}
	return ask
}

// announceAddress returns the address of a counter, or the time for which it is skipped.
func (l *Limiter) announceAddress(counter string) (string, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	host, known := l.fleet.FindCounter(counter, now)
	if !known {
		return "", unresponsiveBackoff
	}
	return host.Address, max(l.unresponsiveUntil[counter]-now, 0)
}

// hostsNamed returns the known hosts with the given names. It is called with mu held.
func (l *Limiter) hostsNamed(names []string, now time.Duration) []quota.Host {
	var out []quota.Host
	for _, name := range names {
		if h, known := l.fleet.FindCounter(name, now); known {
			out = append(out, h)
		}
	}
	return out
}

func (l *Limiter) markUnresponsive(counter string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unresponsiveUntil[counter] = clock.Now() + unresponsiveBackoff
}
