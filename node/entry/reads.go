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

// readsInterval is how often a host logs where its reads were served: a line for
// each service and kind of route, and less than one a second of most hosts.
const readsInterval = 5 * time.Second

// readKey tells the reads that are counted together.
type readKey struct {
	service     string
	consistency catalog.Consistency
}

// readCounts counts where reads were served. It is safe for concurrent use; its
// lock is a leaf.
type readCounts struct {
	mu     sync.Mutex
	counts map[readKey]map[replicaset.ReadSource]int
}

// observe counts a statement that was served, if it was a read.
func (c *readCounts) observe(r edge.Record) {
	if r.Outcome.Source == replicaset.NoRead || r.Outcome.Answer.Code != statement.OK {
		return
	}
	key := readKey{service: r.Route.Service, consistency: r.Route.Consistency}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[readKey]map[replicaset.ReadSource]int{}
	}
	if c.counts[key] == nil {
		c.counts[key] = map[replicaset.ReadSource]int{}
	}
	c.counts[key][r.Outcome.Source]++
}

// take returns the counts since it was last called.
func (c *readCounts) take() map[readKey]map[replicaset.ReadSource]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.counts
	c.counts = nil
	return out
}

// logReads logs where reads were served, until the context ends.
func (h *Host) logReads(ctx context.Context) {
	clock.Every(ctx, readsInterval, func() {
		for key, sources := range h.reads.take() {
			line := eventlog.ReadsCounted.Info(h.log).Str("service", key.service).Stringer("consistency", key.consistency)
			for _, s := range replicaset.ReadSources() {
				if n := sources[s]; n > 0 {
					line = line.Int(s.String(), n)
				}
			}
			line.Send()
		}
	})
}
