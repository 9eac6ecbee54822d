package group

import "time"

// Timing holds the delays of failure detection and promotion. Safety does not
// depend on them.
type Timing struct {
	// Heartbeat is the interval between probes of a healthy member.
	Heartbeat time.Duration
	// FastHeartbeat replaces Heartbeat while the primary is suspected.
	FastHeartbeat time.Duration
	// SuspectAfter is how long a primary may leave probes unanswered before a
	// promotion.
	SuspectAfter time.Duration
	// RefusedAfter is how long a primary may refuse connections before a
	// promotion. It is shorter than SuspectAfter because a refusal shows that
	// the machine is up and the database process is not.
	RefusedAfter time.Duration
	// ContactWindow is the maximum age of a replica's last contact with the
	// primary at which it delays a promotion.
	ContactWindow time.Duration
	// MaxHoldOff limits how long replicas in contact with the primary can delay
	// a promotion.
	MaxHoldOff time.Duration
	// Stagger separates the claims of the hosts that monitor a group, by rank,
	// so that normally only one of them claims a term.
	Stagger time.Duration
	// ReplyTimeout bounds the claim phase and the promotion phase.
	ReplyTimeout time.Duration
}

// DefaultTiming returns the default delays. See docs/MEASUREMENTS.md.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat:     100 * time.Millisecond,
		FastHeartbeat: 50 * time.Millisecond,
		SuspectAfter:  500 * time.Millisecond,
		RefusedAfter:  150 * time.Millisecond,
		ContactWindow: 200 * time.Millisecond,
		MaxHoldOff:    2 * time.Second,
		Stagger:       200 * time.Millisecond,
		ReplyTimeout:  400 * time.Millisecond,
	}
}
