package succession

import (
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
)

// RollbackTimeout is how long after a promotion a replica that was ahead of the new
// primary may still report what it has to roll back.
const RollbackTimeout = time.Second

// LogCheck decides whether the primary of a term still has its log, by comparing it with
// the replicas'. It takes rounds of statuses until it reaches a verdict. The zero value is
// ready for the first round. It is not safe for concurrent use.
//
// Only replicas that know the primary's term count: any other may have entries that the
// promotion rolled back. Offsets go on across terms, so a log that ends before what such
// a replica has received is incomplete, whatever the terms of the positions.
type LogCheck struct {
	term logpos.Term
	// received is the most advanced entry of the term that a replica had in an earlier
	// round. Only the primary writes entries of its term.
	received logpos.Position
	// aheadSince holds the replicas without entries of the term that were ahead of the
	// primary when they last answered, and since when. The promotion may not have rolled
	// them back yet.
	aheadSince map[string]time.Duration
	// furthest is the most advanced position of such a replica in the latest round.
	furthest logpos.Position
}

// Observe records a round: the status of the primary, and those of the replicas that
// answered. The requests were sent after the previous call returned, at the same time.
func (c *LogCheck) Observe(primary statement.Status, replicas []CandidateStatus, now time.Duration) LogVerdict {
	if primary.Term != c.term {
		*c = LogCheck{term: primary.Term, aheadSince: map[string]time.Duration{}}
	}
	if primary.Received.Offset < c.received.Offset {
		return LogLost
	}
	first := c.received.IsZero()
	if first && len(c.aheadSince) == 0 && !knowTerm(c.term, replicas) {
		return LogUnbounded
	}
	c.observeReceived(replicas)
	switch notRolledBack := c.observeAhead(primary, replicas, now); {
	case notRolledBack:
		return LogLost
	case len(c.aheadSince) > 0:
		return LogUndecided
	case first && primary.Received.Offset < c.received.Offset:
		// The replica may have answered later than the primary. The next round tells.
		return LogUndecided
	}
	return LogComplete
}

// knowTerm reports whether one of the replicas knows a term.
func knowTerm(term logpos.Term, replicas []CandidateStatus) bool {
	return slices.ContainsFunc(replicas, func(r CandidateStatus) bool { return r.Status.Term == term })
}

// observeReceived records the entries of the term that replicas have.
func (c *LogCheck) observeReceived(replicas []CandidateStatus) {
	for _, r := range replicas {
		if p := r.Status.Received; p.Term == c.term && c.received.Less(p) {
			c.received = p
		}
	}
}

// observeAhead records which replicas that know the term, but have no entries of it, are
// ahead of the primary. It reports whether one has been for RollbackTimeout although it is
// free to roll back: replication is stopped on a paused one.
func (c *LogCheck) observeAhead(primary statement.Status, replicas []CandidateStatus, now time.Duration) bool {
	notRolledBack := false
	c.furthest = logpos.Position{}
	for _, r := range replicas {
		st := r.Status
		if st.Term != c.term {
			continue
		}
		if st.Received.Term == c.term || st.Received.Offset <= primary.Received.Offset {
			delete(c.aheadSince, r.ID)
			continue
		}
		since, known := c.aheadSince[r.ID]
		if !known {
			since = now
			c.aheadSince[r.ID] = now
		}
		notRolledBack = notRolledBack || st.PausedTerm == 0 && now-since >= RollbackTimeout
		if c.furthest.Less(st.Received) {
			c.furthest = st.Received
		}
	}
	return notRolledBack
}

// Reached returns the most advanced position that the primary's log is known to have
// reached, given its status of the latest round.
func (c *LogCheck) Reached(primary statement.Status, verdict LogVerdict) logpos.Position {
	reached := primary.Received
	if reached.Offset < c.received.Offset {
		reached = c.received
	}
	if verdict == LogLost && reached.Offset < c.furthest.Offset {
		reached = c.furthest
	}
	return reached
}
