package replicaset

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/feature"
	"github.com/dotterelswitch/dotterelswitch/core/health"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// runMonitored runs a job on another host and pings that host meanwhile, because a
// late answer alone does not tell a queue at a busy member from a frozen gate. If
// the gate does not respond to pings, a repeatable job is abandoned, to run
// elsewhere; a write waits for its answer or until the gate counts as lost.
func (s *Set) runMonitored(ctx context.Context, address string, j Job) Result {
	if !s.features.Enabled(feature.GateWatch) {
		return s.remote.Run(ctx, address, s.service, j)
	}
	if !j.repeatable() {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(health.GateProbeDelay, func() { s.monitorGate(ctx, cancel, address, j.repeatable()) })
	defer timer.Stop()
	return s.remote.Run(ctx, address, s.service, j)
}

// monitorGate pings a host until the context ends. If the host does not respond, it
// abandons the job if mayAbandon is set, and otherwise closes the connections to the
// host once the host counts as lost.
func (s *Set) monitorGate(ctx context.Context, abandon context.CancelFunc, address string, mayAbandon bool) {
	for ctx.Err() == nil {
		alive := s.gateAlive(ctx, address)
		switch {
		case !alive && mayAbandon:
			abandon()
			return
		case !alive && s.gateHealth.lost(address, clock.Now()):
			s.remote.Drop(address)
			return
		}
		clock.Sleep(ctx, health.GateProbeDelay)
	}
}

// gateAlive reports whether a host has recently answered or answers a ping now.
func (s *Set) gateAlive(ctx context.Context, address string) bool {
	if !s.gateHealth.probeDue(address, clock.Now()) {
		return true
	}
	if !s.remote.Alive(ctx, address) {
		return false
	}
	s.gateHealth.probeAnswered(address, clock.Now())
	return true
}
