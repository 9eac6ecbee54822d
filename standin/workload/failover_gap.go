package workload

import (
	"sync"
	"time"
)

// failoverGapMeter measures the time from a primary's failure to the first
// acknowledgement of a write sent after the failure.
type failoverGapMeter struct {
	mu       sync.Mutex
	failedAt map[string]time.Time
	gaps     map[string]time.Duration
}

func newFailoverGapMeter() *failoverGapMeter {
	return &failoverGapMeter{failedAt: make(map[string]time.Time), gaps: make(map[string]time.Duration)}
}

func (g *failoverGapMeter) recordFailure(service string, failedAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failedAt[service] = failedAt
}

func (g *failoverGapMeter) recordAck(service string, started, ended time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	failedAt, failed := g.failedAt[service]
	if !failed || started.Before(failedAt) {
		return
	}
	gap := ended.Sub(failedAt)
	if shortest, found := g.gaps[service]; !found || gap < shortest {
		g.gaps[service] = gap
	}
}

// longest returns the longest gap of any service, or false if no primary failed.
// The gap of a service that has not recovered lasts until now.
func (g *failoverGapMeter) longest(now time.Time) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var longest time.Duration
	for service, failedAt := range g.failedAt {
		gap, recovered := g.gaps[service]
		if !recovered {
			gap = now.Sub(failedAt)
		}
		longest = max(longest, gap)
	}
	return longest, len(g.failedAt) > 0
}
