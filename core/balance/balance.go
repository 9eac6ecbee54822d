// Package balance ranks the members that a read may be sent to by their expected
// response time.
//
// Hosts decide independently of each other. The load that other hosts put on a
// member is reflected in the response times that each host observes.
package balance

import (
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/gateload"
)

// Candidate is this host's view of one member.
type Candidate struct {
	ID      string
	Primary bool
	// RoundTrip is the network round-trip time to the member.
	RoundTrip time.Duration
	// ResponseTime is the moving average of the member's response times, including
	// the wait in its own queue.
	ResponseTime time.Duration
	// InUse and Waiting count the statements of this host that run on the member
	// and that wait for a connection to it.
	InUse, Waiting int
	// HasIdleConn is set if no connection has to be opened: one is idle, or a gate
	// runs the statement.
	HasIdleConn bool
	// NotPreferred is set if the caller's team prefers another replica, which is
	// likely to have an open connection of the team.
	NotPreferred bool
	// Slots is the number of statements that the member runs concurrently.
	Slots int
	// Suspect is set if the failure detector suspects the member.
	Suspect bool
	// EntryMissing is set if the member's entry on the platform is missing.
	EntryMissing bool
	// Lagging is set if the member recently had not applied a position that a read
	// required.
	Lagging bool
	// Load is what the member's gates report; nil if they have not reported lately. It
	// replaces ResponseTime, InUse and Waiting.
	Load *gateload.Estimate
	// OldestCall is for how long this host's oldest statement in progress through a gate
	// of the member has lasted. Only RankByLoad uses it.
	OldestCall time.Duration
	// Ejected is set if a gate or this host refuses reads for the member because it fails
	// or is slow.
	Ejected bool
}

const (
	// connectCost is the expected cost of opening a connection: 12 to 27 ms of a slot
	// of the member, and two round trips.
	connectCost = 25 * time.Millisecond
	// affinityPenalty keeps a team's reads on one replica, where a connection of the
	// team is likely to be open, unless another replica is faster by more than the
	// cost of a connection.
	affinityPenalty = connectCost
	// primaryPenalty keeps reads off the primary, whose capacity is needed for
	// writes. It exceeds the round trip between regions, so that callers in the
	// primary's zone use remote replicas too: with a single round trip a quarter of all
	// reads went to the primary of the caller's zone.
	primaryPenalty = 120 * time.Millisecond
	// unhealthyPenalty ranks a member that lags, is ejected, is suspect or has no entry
	// behind all others. It exceeds the longest wait that a queue accepts.
	unhealthyPenalty = 5 * time.Second
)

// Healthy reports whether the member is neither suspect nor lagging nor ejected. A missing
// entry does not matter: the member may serve reads while the platform is unavailable.
func (c Candidate) Healthy() bool { return !c.Lagging && !c.Suspect && !c.Ejected }

// expectedCost returns the expected response time plus the penalties. Each of this
// host's statements on the member delays a read by one response time per slot.
func (c Candidate) expectedCost() time.Duration {
	slots := max(c.Slots, 1)
	cost := c.RoundTrip + c.ResponseTime
	cost += c.ResponseTime * time.Duration(c.InUse+c.Waiting) / time.Duration(slots)
	if c.Load != nil {
		cost = c.reportedCost()
	}
	if !c.HasIdleConn {
		cost += connectCost
	}
	if c.NotPreferred {
		cost += affinityPenalty
	}
	if c.Primary {
		cost += primaryPenalty
	}
	if c.Lagging || c.EntryMissing {
		cost += unhealthyPenalty
	}
	if c.Ejected {
		// An ejected member ranks behind one that only lags, which may catch up, and
		// before a suspect one, which may not answer at all.
		cost += unhealthyPenalty * 3 / 2
	}
	if c.Suspect {
		// A suspect member ranks behind one that only lags and still answers.
		cost += 2 * unhealthyPenalty
	}
	return cost
}

// Rank returns the candidates sorted by ascending cost. The sort is stable.
func Rank(candidates []Candidate) []Candidate {
	out := slices.Clone(candidates)
	slices.SortStableFunc(out, func(a, b Candidate) int { return int(a.expectedCost() - b.expectedCost()) })
	return out
}
