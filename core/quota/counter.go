package quota

import "time"

const (
	// forgetAfter is how long a team that nobody asks for is kept.
	forgetAfter = time.Minute
	// tidyInterval spaces the looks for such teams.
	tidyInterval = 10 * time.Second
)

// Payment answers a host that asks for a number of operations.
type Payment struct {
	// Paid is how many of them may run.
	Paid int
	// RetryAfter is when more can be paid; zero where all were paid.
	RetryAfter time.Duration
}

// Counter pays for the operations of the teams that this host counts. It is not
// safe for concurrent use.
type Counter struct {
	tolerance Tolerance
	// since is when this host may last have become the counter of a team.
	since time.Duration
	// own holds the ledgers of the teams that this host is first for, deputy those
	// of the teams that it is second for.
	own, deputy map[string]*ledger
	tidiedAt    time.Duration
}

// NewCounter returns a counter that knows of nothing that was paid before.
func NewCounter(t Tolerance, now time.Duration) *Counter {
	return &Counter{tolerance: t, since: now, own: map[string]*ledger{}, deputy: map[string]*ledger{}}
}

// FleetChanged notes that this host may have become the counter of other teams.
func (c *Counter) FleetChanged(now time.Duration) { c.since = now }

// Pay pays for operations of a team as its counter.
func (c *Counter) Pay(team string, l Limit, wanted int, now time.Duration) Payment {
	return c.pay(c.own, team, l, c.tolerance.counted(l), wanted, now)
}

// PayAsDeputy pays for operations of a team whose counter does not answer the host
// that asks.
func (c *Counter) PayAsDeputy(team string, l Limit, wanted int, now time.Duration) Payment {
	return c.pay(c.deputy, team, l, c.tolerance.deputy(l), wanted, now)
}

func (c *Counter) pay(ledgers map[string]*ledger, team string, l Limit, limit float64, wanted int, now time.Duration) Payment {
	if !l.Bounded {
		return Payment{Paid: wanted}
	}
	c.tidy(now)
	led, found := ledgers[team]
	if !found {
		led = &ledger{at: now}
		if now-c.since >= c.tolerance.Window {
			// Nothing was paid for the team in this window.
			led.tokens = burst(limit)
		}
		ledgers[team] = led
	}
	return led.pay(limit, c.tolerance.Window, wanted, now)
}

// tidy forgets the teams that nobody asks for, so that the counter holds no more
// than are active.
func (c *Counter) tidy(now time.Duration) {
	if now-c.tidiedAt < tidyInterval {
		return
	}
	c.tidiedAt = now
	for _, ledgers := range []map[string]*ledger{c.own, c.deputy} {
		for team, l := range ledgers {
			if now-l.at > forgetAfter {
				delete(ledgers, team)
			}
		}
	}
}

// Teams returns how many teams this host counts now.
func (c *Counter) Teams() int { return len(c.own) }
