// Package balance picks the member that a read goes to.
//
// Load pattern: reads outnumber writes and every member runs just a few
// statements at once, so a read is best where its answer is expected first.
// Several hosts decide at the same time without talking to each other; the
// answer times that each one sees carry the load that all of them make.
package balance

import (
	"slices"
	"time"
)

// Candidate is what a host knows of one member.
type Candidate struct {
	ID      string
	Primary bool
	// RoundTrip is the time to the member and back without any work.
	RoundTrip time.Duration
	// Answer is the smoothed time of its answers, the wait in its own queue
	// included.
	Answer time.Duration
	// InUse and Waiting count this host's statements at the member.
	InUse, Waiting int
	// Idle tells that a connection is free.
	Idle bool
	// Foreign tells that the caller's team has its connections at another replica.
	Foreign bool
	// Slots is how many statements the member runs at once.
	Slots int
	// Suspect is set while its newest exchange failed.
	Suspect bool
	// Missing is set while its entry on the platform is lost.
	Missing bool
	// Behind is set while it lately lacked a position that a read needed.
	Behind bool
}

const (
	// connectCost is what a new connection adds: 12 to 27 ms of a slot on the
	// deployments, and two round trips.
	connectCost = 25 * time.Millisecond
	// foreignCost has a team's reads meet at one replica, where a connection of the
	// team is likely to be open, unless another one answers sooner by more than a new
	// connection takes.
	foreignCost = connectCost
	// primaryCost keeps reads away from the one member that can write, as long
	// as a replica answers within this much of it: three times the trip to another
	// region and back. At one such trip a quarter of all reads went to the primary
	// of the caller's own zone; now replicas serve 0.86 of the reads in place of
	// 0.60 where they are 60 ms behind, 0.97 in place of 0.76 where they are 20 ms
	// behind, and 0.3 % of the operations of a loaded day are not refused any more.
	primaryCost = 120 * time.Millisecond
	// doubtCost puts members in doubt behind all others. It exceeds the waits
	// that queues reach before they refuse.
	doubtCost = 5 * time.Second
)

// Usable reports whether a read may be sent to the member now: it is neither in
// doubt nor behind.
func (c Candidate) Usable() bool { return !c.Behind && !c.Suspect }

// cost is the time after which the member is expected to have answered, with
// the charges above.
func (c Candidate) cost() time.Duration {
	slots := max(c.Slots, 1)
	cost := c.RoundTrip + c.Answer
	cost += c.Answer * time.Duration(c.InUse+c.Waiting) / time.Duration(slots)
	if !c.Idle {
		cost += connectCost
	}
	if c.Foreign {
		cost += foreignCost
	}
	if c.Primary {
		cost += primaryCost
	}
	if c.Behind || c.Missing {
		cost += doubtCost
	}
	if c.Suspect {
		cost += 2 * doubtCost
	}
	return cost
}

// Order sorts candidates, the best first. Equal ones keep their order.
func Order(candidates []Candidate) []Candidate {
	out := slices.Clone(candidates)
	slices.SortStableFunc(out, func(a, b Candidate) int { return int(a.cost() - b.cost()) })
	return out
}
