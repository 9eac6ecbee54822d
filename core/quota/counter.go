package quota

import (
	"maps"
	"slices"
	"time"
)

const (
	// idleTimeout is how long an idle team's bucket is kept.
	idleTimeout = time.Minute
	// evictInterval is the minimum time between two evictions of idle teams.
	evictInterval = 10 * time.Second
)

// Grant is a counter's response to a host that requests operations.
type Grant struct {
	// Granted is the number of operations that may run.
	Granted int
	// RetryAfter is the delay until more can be granted; zero if all were granted.
	RetryAfter time.Duration
	// Counters are the team's counters as known to a host that is not one of them;
	// otherwise nil.
	Counters []Host
}

// Counter grants operations of the teams that are assigned to this host. It is not safe
// for concurrent use.
type Counter struct {
	tolerance Tolerance
	// accrueFrom is the time from which a new team's bucket accrues tokens: the last
	// time at which this host may have become a counter of teams that it has granted
	// nothing yet.
	accrueFrom time.Duration
	teams      map[string]*bucket
	evictedAt  time.Duration
}

// NewCounter returns a counter whose new teams accrue tokens from now on.
func NewCounter(t Tolerance, now time.Duration) *Counter {
	return &Counter{tolerance: t, accrueFrom: now, teams: map[string]*bucket{}}
}

// TakeOver records that this host may have replaced another host as a counter of some
// teams, because that host left or this one joined. Tokens that accrued until now may
// already have been granted by the other host, so buckets of new teams start empty.
func (c *Counter) TakeOver(now time.Duration) { c.accrueFrom = now }

// Teams returns the teams with a bucket.
func (c *Counter) Teams() []string { return slices.Collect(maps.Keys(c.teams)) }

// Forget removes the bucket of a team that this host no longer counts. Others grant the
// tokens that accrue until it counts the team again.
func (c *Counter) Forget(team string) { delete(c.teams, team) }

// Acquire grants operations of a team from this host's allotment.
func (c *Counter) Acquire(team string, l Limit, a Allotment, wanted int, now time.Duration) Grant {
	if !l.Bounded {
		return Grant{Granted: wanted}
	}
	c.evictIdle(now)
	b, found := c.teams[team]
	if !found {
		b = &bucket{refilledAt: c.accrueFrom}
		c.teams[team] = b
	}
	return b.take(c.tolerance.grantableOf(l, a), c.tolerance.Window, wanted, now)
}

// evictIdle removes the buckets of idle teams.
func (c *Counter) evictIdle(now time.Duration) {
	if now-c.evictedAt < evictInterval {
		return
	}
	c.evictedAt = now
	for team, b := range c.teams {
		if now-b.refilledAt > idleTimeout {
			delete(c.teams, team)
		}
	}
}
