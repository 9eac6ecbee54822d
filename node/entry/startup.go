package entry

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/startup"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

// startupPoll is how often a host that has just started looks for what a caller
// waits for: well below the time of one statement.
const startupPoll = 10 * time.Millisecond

// AwaitCatalog implements edge.Backend.
func (h *Host) AwaitCatalog(ctx context.Context) *catalog.Catalog {
	until := startup.LoginUntil(h.startedAt, clock.Now())
	h.awaitStartup(ctx, until, func() bool { return h.registry.Catalog() != nil })
	return h.registry.Catalog()
}

// AwaitSet implements edge.Backend.
func (h *Host) AwaitSet(ctx context.Context, service string, startBy time.Duration) *replicaset.Set {
	until := startup.StatementUntil(h.startedAt, startBy)
	h.awaitStartup(ctx, until, func() bool { return h.Set(service) != nil })
	return h.Set(service)
}

// awaitStartup waits until something is there, a time is over or the context
// ends.
func (h *Host) awaitStartup(ctx context.Context, until time.Duration, there func() bool) {
	for !there() && clock.Now() < until && clock.Sleep(ctx, startupPoll) {
	}
}
