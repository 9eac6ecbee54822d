package group

import "time"

// Timing holds the delays of failure detection and promotion. No promise of
// safety depends on them.
type Timing struct {
	// Heartbeat is the interval between probes of a healthy member.
	Heartbeat time.Duration
	// FastHeartbeat replaces Heartbeat while the primary is in doubt.
	FastHeartbeat time.Duration
	// SuspectAfter is how long a primary may leave probes unanswered.
	SuspectAfter time.Duration
	// RefusedAfter is how long a primary may refuse connections. It is shorter
	// than SuspectAfter because a refusal comes from a live machine whose
	// database process is gone.
	RefusedAfter time.Duration
	// HeardWithin is how recent a replica's contact with the primary must be
	// to speak against a promotion.
	HeardWithin time.Duration
	// Patience bounds how long replicas that still hear the primary can hold a
	// promotion off.
	Patience time.Duration
	// Stagger separates the hosts that watch a group, by rank, so that
	// normally only one of them claims a term.
	Stagger time.Duration
	// ReplyTimeout bounds a claim and a promotion.
	ReplyTimeout time.Duration
}

// DefaultTiming returns the delays measured in docs/MEASUREMENTS.md.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat:     100 * time.Millisecond,
		FastHeartbeat: 50 * time.Millisecond,
		SuspectAfter:  500 * time.Millisecond,
		RefusedAfter:  150 * time.Millisecond,
		HeardWithin:   200 * time.Millisecond,
		Patience:      2 * time.Second,
		Stagger:       200 * time.Millisecond,
		ReplyTimeout:  400 * time.Millisecond,
	}
}
