package quota

import "time"

const (
	// forgetAfter is how long a team that nobody asks for is kept.
	forgetAfter = time.Minute
	// tidyInterval spaces the looks for such teams.
	tidyInterval = 10 * time.Second
)

// Grant answers a host that asks for a number of operations.
type Grant struct {
	// Granted is how many of them may run.
	Granted int
	// RetryAfter is when more can be granted; zero where all were granted.
	RetryAfter time.Duration
}

// Counter grants operations of the teams that this host counts. It is not safe
// for concurrent use.
type Counter struct {
	tolerance Tolerance
	// since is when this host may last have become a counter of a team, for which it
	// has granted nothing before.
	since    time.Duration
	teams    map[string]*bucket
	tidiedAt time.Duration
}

// NewCounter returns a counter that has granted nothing.
func NewCounter(t Tolerance, now time.Duration) *Counter {
	return &Counter{tolerance: t, since: now, teams: map[string]*bucket{}}
}

// TakesOver notes that this host may have become a counter of teams that another one
// has counted, because that one left or this one joined. It has granted them nothing,
// but the other has: what came in for them here until now is the other's.
//
// Load pattern: all hosts come back from a loss of power and register one after the
// other, while all callers return at once. A host that joins takes teams over and
// gives none to others, so that only its own joining counts.
func (c *Counter) TakesOver(now time.Duration) { c.since = now }

// Acquire grants operations of a team, out of this host's part of its limit, which
// it shares with the other counters.
func (c *Counter) Acquire(team string, l Limit, counters, wanted int, now time.Duration) Grant {
	if !l.Bounded {
		return Grant{Granted: wanted}
	}
	c.tidy(now)
	b, found := c.teams[team]
	if !found {
		b = &bucket{at: c.since}
		c.teams[team] = b
	}
	return b.take(c.tolerance.counted(l)/float64(max(counters, 1)), c.tolerance.Window, wanted, now)
}

// tidy forgets the teams that nobody asks for, so that the counter holds no more
// than are active.
func (c *Counter) tidy(now time.Duration) {
	if now-c.tidiedAt < tidyInterval {
		return
	}
	c.tidiedAt = now
	for team, b := range c.teams {
		if now-b.at > forgetAfter {
			delete(c.teams, team)
		}
	}
}
