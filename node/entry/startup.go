package entry

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/feature"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/startup"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

// startupPollInterval is how often a starting host checks for the configuration or
// replica set that a caller waits for.
const startupPollInterval = 10 * time.Millisecond

// AwaitCatalog implements edge.Backend.
func (h *Host) AwaitCatalog(ctx context.Context) *catalog.Catalog {
	if !h.settings.Features.Enabled(feature.StartupWait) {
		return h.registry.Catalog()
	}
	return awaitStartup(ctx, startup.LoginDeadline(h.startedAt, clock.Now()), h.registry.Catalog)
}

// AwaitSet implements edge.Backend.
func (h *Host) AwaitSet(ctx context.Context, service string, startDeadline time.Duration) *replicaset.Set {
	return awaitStartup(ctx, startup.StatementDeadline(h.startedAt, startDeadline), func() *replicaset.Set {
		if g := h.use(service); g != nil {
			return g.set
		}
		return nil
	})
}

// awaitStartup polls find until it returns a value, the deadline passes or ctx is
// done.
func awaitStartup[T any](ctx context.Context, deadline time.Duration, find func() *T) *T {
	for {
		found := find()
		if found != nil || clock.Now() >= deadline || !clock.Sleep(ctx, startupPollInterval) {
			return found
		}
	}
}

// fleetStable reports whether the view of the fleet is stable enough to divide the
// members' connections among the hosts. If it is not, it schedules a reconciliation
// for the time at which it should be; statements wait for their set until then. It is
// called with reconcileMu held.
func (h *Host) fleetStable(hosts []gates.Host) bool {
	if h.fleetKnown.Load() {
		return true
	}
	if !h.settings.Features.Enabled(feature.FleetWait) {
		h.fleetKnown.Store(true)
		return true
	}
	now := clock.Now()
	h.fleetStability.Observe(len(hosts), h.registry.RegisteredAtStart(), now)
	if !h.fleetStability.Stable(now) {
		time.AfterFunc(h.fleetStability.StableAt()-now, h.wakeReconcile)
		return false
	}
	h.fleetKnown.Store(true)
	eventlog.FleetKnown.Info(h.log).Int("hosts", len(hosts)).Bool("remembered", h.registry.RegisteredAtStart()).Send()
	return true
}
