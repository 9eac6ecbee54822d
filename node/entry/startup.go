package entry

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/mechanism"
	"github.com/dotterelswitch/dotterelswitch/core/startup"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

// startupPoll is how often a host that has just started looks for what a caller
// waits for: well below the time of one statement.
const startupPollInterval = 10 * time.Millisecond

// AwaitCatalog implements edge.Backend.
func (h *Host) AwaitCatalog(ctx context.Context) *catalog.Catalog {
	if !h.settings.Disabled.Enabled(mechanism.StartupWait) {
		return h.registry.Catalog()
	}
	return awaitStartup(ctx, startup.LoginDeadline(h.startedAt, clock.Now()), h.registry.Catalog)
}

// AwaitSet implements edge.Backend.
func (h *Host) AwaitSet(ctx context.Context, service string, startBy time.Duration) *replicaset.Set {
	return awaitStartup(ctx, startup.StatementDeadline(h.startedAt, startBy), func() *replicaset.Set { return h.Set(service) })
}

// awaitStartup returns what find finds. While that is nothing it looks again,
// until a time is over or the context ends.
func awaitStartup[T any](ctx context.Context, until time.Duration, find func() *T) *T {
	for {
		found := find()
		if found != nil || clock.Now() >= until || !clock.Sleep(ctx, startupPollInterval) {
			return found
		}
	}
}

// knowsFleet reports whether the other hosts are known well enough to share the
// members' connections with them. While they are not, statements wait for their
// group, and the sets are looked at again when they should be.
func (h *Host) fleetStable(hosts []gates.Host) bool {
	if h.fleetWasStable || !h.settings.Disabled.Enabled(mechanism.FleetWait) {
		return true
	}
	now := clock.Now()
	h.fleetStability.Observe(len(hosts), h.registry.Remembered(), now)
	if !h.fleetStability.Stable(now) {
		time.AfterFunc(h.fleetStability.StableAt()-now, h.wakeReconcile)
		return false
	}
	h.fleetWasStable = true
	eventlog.FleetKnown.Info(h.log).Int("hosts", len(hosts)).Bool("remembered", h.registry.Remembered()).Send()
	return true
}
