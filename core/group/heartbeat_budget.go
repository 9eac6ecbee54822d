package group

import "time"

// HeartbeatBudget limits the heartbeat traffic of a host: the interval grows
// with the number of members it monitors. With many members an idle primary's
// failure is detected later; a failed statement triggers faster probes (see
// Controller.Suspect).
type HeartbeatBudget struct {
	// ProbeBytes is the size of a probe and its answer.
	ProbeBytes int
	// BytesPerSecond is the budget of all probes together.
	BytesPerSecond int
	// MinInterval and MaxInterval bound the heartbeat interval.
	MinInterval, MaxInterval time.Duration
}

// DefaultHeartbeatBudget returns the default budget, a part of the control
// traffic of a host; see docs/CAPACITY.md.
func DefaultHeartbeatBudget() HeartbeatBudget {
	return HeartbeatBudget{
		ProbeBytes: 400, BytesPerSecond: 3600,
		MinInterval: 100 * time.Millisecond, MaxInterval: 5 * time.Second,
	}
}

// Interval returns the time between probes of one member when a host monitors
// the given number of members.
func (b HeartbeatBudget) Interval(members int) time.Duration {
	interval := time.Duration(members*b.ProbeBytes) * time.Second / time.Duration(b.BytesPerSecond)
	return min(max(interval, b.MinInterval), b.MaxInterval)
}
