package replicaset

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/health"
	"github.com/dotterelswitch/dotterelswitch/core/mechanism"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// runWatched runs a job on another host and looks meanwhile whether that host
// lives. Load pattern: a gate freezes or is cut off with statements under way.
// Their queue at a busy member may take as long as the freeze lasts, so time
// alone does not tell the two apart; a sign of life does. What may be run twice
// is given up, to be run elsewhere; a write waits for its answer, or until the
// host counts as lost.
func (s *Set) runWatched(ctx context.Context, address string, j Job) Result {
	if !s.without.Enabled(mechanism.GateWatch) {
		return s.remote.Run(ctx, address, s.service, j)
	}
	if !j.repeatable() {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	look := time.AfterFunc(health.GateProbeDelay, func() { s.watchGate(ctx, cancel, address, j.repeatable()) })
	defer look.Stop()
	return s.remote.Run(ctx, address, s.service, j)
}

// watchGate looks until the context ends whether a host lives, and ends it when
// the host does not and the job may be given up. What may not ends with the
// connections to a host that is lost.
func (s *Set) watchGate(ctx context.Context, giveUp context.CancelFunc, address string, mayGiveUp bool) {
	for ctx.Err() == nil {
		lives := s.gateLives(ctx, address)
		switch {
		case !lives && mayGiveUp:
			giveUp()
			return
		case !lives && s.gateHealth.lost(address, clock.Now()):
			s.remote.Drop(address)
			return
		}
		clock.Sleep(ctx, health.GateProbeDelay)
	}
}

// gateLives reports whether a host has answered anything lately, or does now.
func (s *Set) gateLives(ctx context.Context, address string) bool {
	if !s.gateHealth.due(address, clock.Now()) {
		return true
	}
	if !s.remote.Alive(ctx, address) {
		return false
	}
	s.gateHealth.alive(address, clock.Now())
	return true
}
