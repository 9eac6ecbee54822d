package entry

import (
	"context"

	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/promoter"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

// ticksPerTidy is how many glances at the promoters go by until connections are
// looked over.
const ticksPerPoolCheck = int(replicaset.TidyInterval / promoter.Interval)

// watchGroups looks at all groups by one clock, until the context ends: a timer a
// group would wake the host for each.
func (h *Host) tickGroups(ctx context.Context) {
	ticks := 0
	clock.Every(ctx, promoter.Interval, func() {
		now := clock.Now()
		for _, p := range h.allPromoters() {
			p.Tick(now)
		}
		if ticks++; ticks%ticksPerPoolCheck != 0 {
			return
		}
		for _, s := range h.allSets() {
			s.Tick(now)
		}
	})
}

func (h *Host) allPromoters() []*promoter.Promoter {
	h.mu.RLock()
	defer h.mu.RUnlock()
	out := make([]*promoter.Promoter, 0, len(h.promoters))
	for _, p := range h.promoters {
		out = append(out, p)
	}
	return out
}
