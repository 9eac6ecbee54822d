package replicaset

import (
	"sync"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/health"
)

// gateHealth makes health.GateDetector safe for concurrent use. No other lock
// is taken while its lock is held.
type gateHealth struct {
	mu    sync.Mutex
	gates health.GateDetector
}

func (g *gateHealth) callStarted(address string, now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gates.CallStarted(address, now)
}

func (g *gateHealth) callEnded(address string, answered bool, now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gates.CallEnded(address, answered, now)
}

func (g *gateHealth) probeAnswered(address string, now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gates.ProbeAnswered(address, now)
}

func (g *gateHealth) probeDue(address string, now time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gates.ProbeDue(address, now)
}

func (g *gateHealth) lost(address string, now time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gates.Lost(address, now)
}

func (g *gateHealth) usable(address string, now time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gates.Usable(address, now)
}
