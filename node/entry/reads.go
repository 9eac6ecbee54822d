package entry

import (
	"context"
	"sync"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/edge"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

// readsLogInterval is how often a host logs where its reads were served: one line
// per consistency level, so that the volume does not grow with the services.
const readsLogInterval = 5 * time.Second

// readCounts counts reads by consistency level and source. It is safe for
// concurrent use.
type readCounts struct {
	mu     sync.Mutex
	counts map[catalog.Consistency]map[replicaset.ReadSource]int
}

// observe counts the statement if it is a successful read.
func (c *readCounts) observe(r edge.Record) {
	if r.Outcome.Source == replicaset.NotARead || r.Outcome.Answer.Code != statement.OK {
		return
	}
	kind := r.Route.Consistency
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[catalog.Consistency]map[replicaset.ReadSource]int{}
	}
	if c.counts[kind] == nil {
		c.counts[kind] = map[replicaset.ReadSource]int{}
	}
	c.counts[kind][r.Outcome.Source]++
}

// take returns the counts and resets them.
func (c *readCounts) take() map[catalog.Consistency]map[replicaset.ReadSource]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.counts
	c.counts = nil
	return out
}

// logReads periodically logs where reads were served, until ctx is done.
func (h *Host) logReads(ctx context.Context) {
	clock.Every(ctx, readsLogInterval, func() {
		for consistency, sources := range h.reads.take() {
			line := eventlog.ReadsCounted.Info(h.log).Stringer("consistency", consistency)
			for _, s := range replicaset.AllReadSources() {
				if n := sources[s]; n > 0 {
					line = line.Int(s.String(), n)
				}
			}
			line.Send()
		}
	})
}
