package entry

import (
	"context"

	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/promoter"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

// ticksPerPoolCheck is the number of promoter ticks per tick of the replica sets.
const ticksPerPoolCheck = int(replicaset.TickInterval / promoter.CheckInterval)

// tickGroups ticks all promoters and replica sets until ctx is done. One shared
// ticker avoids a timer wake-up per group.
func (h *Host) tickGroups(ctx context.Context) {
	ticks := 0
	clock.Every(ctx, promoter.CheckInterval, func() {
		now := clock.Now()
		groups := h.activeGroups()
		for _, g := range groups {
			g.promoter.Tick(now)
		}
		if ticks++; ticks%ticksPerPoolCheck != 0 {
			return
		}
		for _, g := range groups {
			g.set.Tick(now)
		}
	})
}
