package membership

import "time"

// Timing holds the delays of failure detection between hosts.
type Timing struct {
	// ProbePeriod is the interval between two probes by one host.
	ProbePeriod time.Duration
	// SuspectFor is how long a suspected host may refute before it is
	// believed dead.
	SuspectFor time.Duration
	// ForgetAfter is how long a dead host is remembered, so that old rumours
	// do not bring it back.
	ForgetAfter time.Duration
}

// DefaultTiming returns the delays for a fleet of up to a few hundred hosts
// in each availability zone.
func DefaultTiming() Timing {
	return Timing{
		ProbePeriod: 200 * time.Millisecond,
		SuspectFor:  600 * time.Millisecond,
		ForgetAfter: 10 * time.Minute,
	}
}
