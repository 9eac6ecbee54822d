package replicaset

import (
	"sync"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/health"
)

// gateHealth is health.Gates for concurrent use. Its lock is a leaf.
type gateHealth struct {
	mu    sync.Mutex
	gates health.Gates
}

func (g *gateHealth) started(address string, now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gates.Started(address, now)
}

func (g *gateHealth) ended(address string, answered bool, now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gates.Ended(address, answered, now)
}

func (g *gateHealth) alive(address string, now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gates.Alive(address, now)
}

func (g *gateHealth) due(address string, now time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gates.Due(address, now)
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
