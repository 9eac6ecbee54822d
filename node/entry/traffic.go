package entry

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/node/registry"
)

// talkInterval is how often a host logs what it sent for control: one line, which
// is less than a tenth of what a loaded host writes.
const trafficLogInterval = 5 * time.Second

// The purposes of datagrams to other hosts. Calls to the store are counted by
// their name and result.
const (
	trafficFloor        = "datagram floor"
	trafficOpinion      = "datagram opinion"
	trafficAnnouncement = "datagram announcement"
	trafficLiveness     = "datagram alive"
	trafficQuota        = "datagram quota"
	trafficStorePrefix  = "store "
)

// What became of the statements that needed a connection to a member. An opened one
// costs the member as much as a statement.
const (
	connectionReused  = "connection found"
	connectionOpened  = "connection opened"
	connectionEvicted = "connection closed for another team"
)

// talkCounts counts what a host sends for control, by purpose. It is safe for
// concurrent use; its lock is a leaf.
type trafficCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func newTrafficCounts() *trafficCounts { return &trafficCounts{counts: map[string]int{}} }

func (c *trafficCounts) add(purpose string) { c.addMany(purpose, 1) }

func (c *trafficCounts) addMany(purpose string, n int) {
	if n == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[purpose] += n
}

// take returns the counts since it was last called.
func (c *trafficCounts) take() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := maps.Clone(c.counts)
	clear(c.counts)
	return out
}

// countConnections takes what the pools have done into the counts and the metrics.
func (h *Host) countConnections() {
	for _, s := range h.allSets() {
		c := s.TakeConnectionCounts()
		h.traffic.addMany(connectionReused, c.Reused)
		h.traffic.addMany(connectionOpened, c.Opened)
		h.traffic.addMany(connectionEvicted, c.Evicted)
		h.metrics.connections(s.Service(), c)
	}
}

// logTalk logs what this host sent for control, until the context ends and once
// more then.
func (h *Host) logTraffic(ctx context.Context) {
	clock.Every(ctx, trafficLogInterval, h.writeTrafficLine)
	h.writeTrafficLine()
}

// storeCalled counts a call to the platform's store.
func (h *Host) recordStoreCall(call registry.CallName, result string) {
	h.metrics.storeCall(call, result)
	h.traffic.add(trafficStorePrefix + string(call) + " " + result)
}

func (h *Host) writeTrafficLine() {
	h.countConnections()
	if counts := h.traffic.take(); len(counts) > 0 {
		eventlog.TalkCounted.Info(h.log).Interface("talk", counts).Send()
	}
}
