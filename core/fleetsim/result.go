package fleetsim

import (
	"slices"
	"time"
)

// Result is what a simulated fleet did.
type Result struct {
	Hosts int
	Fault Fault
	// StartMiddle and StartLast are the times from the start of all hosts until the
	// middle and the last one had the configuration.
	StartMiddle, StartLast time.Duration
	// ChangeMiddle and ChangeLast are the times from the change of the configuration
	// until it was in force on the middle and the last host, but for lost relays.
	ChangeMiddle, ChangeLast time.Duration
	// Late is the number of hosts that did not have it within its bound.
	Late int
	// CalmCalls are the calls to the store in a second without events; PeakCalls those
	// in the busiest second.
	CalmCalls float64
	PeakCalls int
	// RefusedCalls are the calls that the store refused since too many came.
	RefusedCalls int
	// CalmBytes is what the busiest host sends in a second without events.
	CalmBytes float64
	// MaxQueuedBytes is the most that waited for the link of one host at a time, all of
	// it in the host's memory.
	MaxQueuedBytes int
}

// middleAndLast returns the middle and the last of some times.
func middleAndLast(times []time.Duration) (middle, last time.Duration) {
	if len(times) == 0 {
		return 0, 0
	}
	slices.Sort(times)
	return times[len(times)/2], times[len(times)-1]
}
