package replicaset

import (
	"sync"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/health"
)

// gateHealth is health.GateDetector for concurrent use. Its lock is a leaf.
type gateHealth struct {
	mu    sync.Mutex
	gates health.GateDetector
}

func (g *gateHealth) started(address string, now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gates.CallStarted(address, now)
}

func (g *gateHealth) ended(address string, answered bool, now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gates.CallEnded(address, answered, now)
}

func (g *gateHealth) alive(address string, now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gates.ProbeAnswered(address, now)
}

func (g *gateHealth) due(address string, now time.Duration) bool {
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
