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

// smallFleet is the number of hosts up to which probes may be frequent.
const smallFleet = 32

// Period returns the interval between probes for a fleet of the given size. A
// small fleet finds failures sooner; in a large one the rumours about others'
// failures make most of the traffic, and probes give way to them.
func (t Timing) Period(hosts int) time.Duration {
	const largeFleetFactor = 5
	if hosts <= smallFleet {
		return t.ProbePeriod
	}
	return t.ProbePeriod * largeFleetFactor / 2
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
