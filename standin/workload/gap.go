package workload

import (
	"sync"
	"time"
)

// gapMeter measures the failover gap: from a primary's failure to the first
// acknowledgement of a write that was sent after it.
type gapMeter struct {
	mu     sync.Mutex
	faults map[string]time.Time
	gaps   map[string]time.Duration
}

func newGapMeter() *gapMeter {
	return &gapMeter{faults: make(map[string]time.Time), gaps: make(map[string]time.Duration)}
}

func (g *gapMeter) fault(service string, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults[service] = at
}

func (g *gapMeter) acked(service string, started, ended time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	at, failed := g.faults[service]
	if !failed || started.Before(at) {
		return
	}
	gap := ended.Sub(at)
	if old, found := g.gaps[service]; !found || gap < old {
		g.gaps[service] = gap
	}
}

// worst returns the longest gap of any service, and false when no primary
// failed. A service that never recovered counts until now.
func (g *gapMeter) worst(now time.Time) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var longest time.Duration
	for service, at := range g.faults {
		gap, recovered := g.gaps[service]
		if !recovered {
			gap = now.Sub(at)
		}
		longest = max(longest, gap)
	}
	return longest, len(g.faults) > 0
}
