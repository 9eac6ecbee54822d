package membership

import "time"

// Timing holds the intervals and timeouts of failure detection between hosts.
type Timing struct {
	// ProbePeriod is the interval between two probes by one host.
	ProbePeriod time.Duration
	// SuspicionTimeout is how long a suspected host may refute before it is considered
	// dead.
	SuspicionTimeout time.Duration
	// DeadRetention is how long a dead host is remembered, so that old rumours do not
	// revive it.
	DeadRetention time.Duration
}

// smallFleetHosts is the fleet size up to which hosts probe at the shortest interval.
const smallFleetHosts = 32

// ProbePeriodFor returns the probe interval for a fleet of the given size. Hosts of a
// large fleet probe less often, because their messages carry more rumours.
func (t Timing) ProbePeriodFor(hosts int) time.Duration {
	const largeFleetFactor = 5
	if hosts <= smallFleetHosts {
		return t.ProbePeriod
	}
	return t.ProbePeriod * largeFleetFactor / 2
}

// DefaultTiming returns the timing for a fleet of up to a few hundred hosts per
// availability zone.
func DefaultTiming() Timing {
	return Timing{
		ProbePeriod:      200 * time.Millisecond,
		SuspicionTimeout: 600 * time.Millisecond,
		DeadRetention:    10 * time.Minute,
	}
}
