package fleetsim

import (
	"slices"
	"time"
)

// Result is what a simulated fleet did.
type Result struct {
	Hosts int   `json:"hosts"`
	Fault Fault `json:"fault"`
	// StartMiddle and StartLast are the times from the start of all hosts until the
	// middle and the last one had the configuration.
	StartMiddle time.Duration `json:"start_middle_ns"`
	StartLast   time.Duration `json:"start_last_ns"`
	// ChangeMiddle and ChangeLast are the times from the change of the configuration
	// until it was in force on the middle and the last host, but for lost relays.
	ChangeMiddle time.Duration `json:"change_middle_ns"`
	ChangeLast   time.Duration `json:"change_last_ns"`
	// Late is the number of hosts that did not have it within its bound.
	Late int `json:"late_hosts"`
	// CalmCalls are the calls to the store in a second without events; PeakCalls those
	// in the busiest second.
	CalmCalls float64 `json:"calm_calls_per_second"`
	PeakCalls int     `json:"peak_calls_per_second"`
	// RefusedCalls are the calls that the store refused since too many came.
	RefusedCalls int `json:"refused_calls"`
	// StoreBacklog is the longest time that an answer of the store waited for its link after
	// the change.
	StoreBacklog time.Duration `json:"store_backlog_ns"`
	// CalmBytes is what the busiest host sends in a second without events.
	CalmBytes float64 `json:"calm_bytes_per_second"`
	// MaxQueuedBytes is the most that waited for the link of one host at a time.
	MaxQueuedBytes int `json:"max_queued_bytes"`
}

// middleAndLast returns the middle and the last of some times.
func middleAndLast(times []time.Duration) (middle, last time.Duration) {
	if len(times) == 0 {
		return 0, 0
	}
	slices.Sort(times)
	return times[len(times)/2], times[len(times)-1]
}
