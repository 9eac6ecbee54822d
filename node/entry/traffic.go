package entry

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/node/registry"
)

// trafficLogInterval is how often a host logs its control traffic.
const trafficLogInterval = 5 * time.Second

// The purposes of datagrams to other hosts, and the prefix for calls to the store,
// which are counted by name and result. The texts are part of the log format.
const (
	trafficFloor         = "datagram floor"
	trafficPeerReport    = "datagram opinion"
	trafficAnnouncement  = "datagram announcement"
	trafficLiveness      = "datagram alive"
	trafficQuota         = "datagram quota"
	trafficStoreProgress = "datagram store progress"
	trafficAcknowledged  = "datagram acknowledged"
	trafficSettled       = "datagram settled"
	trafficStorePrefix   = "store "
)

// How statements obtained a connection to a member.
const (
	connectionReused  = "connection found"
	connectionOpened  = "connection opened"
	connectionEvicted = "connection closed for another team"
)

// trafficCounts counts control messages by purpose. It is safe for concurrent use.
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

// take returns the counts and resets them.
func (c *trafficCounts) take() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := maps.Clone(c.counts)
	clear(c.counts)
	return out
}

// countConnections adds the pools' connection counts to the traffic counts and the
// metrics, and the counts of the decisions under load to the metrics.
func (h *Host) countConnections() {
	for _, s := range h.allSets() {
		c := s.TakeConnectionCounts()
		h.traffic.addMany(connectionReused, c.Reused)
		h.traffic.addMany(connectionOpened, c.Opened)
		h.traffic.addMany(connectionEvicted, c.Evicted)
		h.metrics.connections(s.Service(), c)
		h.metrics.retryTimes(s.TakeReturnCounts())
		h.metrics.loadReports(s.Service(), s.TakeLoadCounts())
		h.metrics.outliers(s.Service(), s.TakeOutlierCounts())
		h.metrics.rejectedAnswers(s.Service(), s.TakeRejectedAnswers())
	}
}

// logTraffic periodically logs the control traffic until ctx is done, and once more
// then.
func (h *Host) logTraffic(ctx context.Context) {
	clock.Every(ctx, trafficLogInterval, h.writeTrafficLine)
	h.writeTrafficLine()
}

// recordStoreCall counts a call to the platform's store.
func (h *Host) recordStoreCall(call registry.StoreCall, result string) {
	h.metrics.storeCall(call, result)
	h.traffic.add(trafficStorePrefix + string(call) + " " + result)
}

// recordMismatch counts and logs an answer of the platform's store that was not that of its
// call.
func (h *Host) recordMismatch(call string, m store.Mismatch) {
	h.metrics.rejectedStoreAnswer(call, m)
	if suppressed, ok := h.logBudget.Allow(eventlog.StoreAnswerRejected, clock.Now()); ok {
		eventlog.StoreAnswerRejected.Warn(h.log).Str("call", call).Str("reason", string(m)).Int("left_out", suppressed).Send()
	}
}

func (h *Host) writeTrafficLine() {
	h.countConnections()
	if counts := h.traffic.take(); len(counts) > 0 {
		eventlog.ControlTrafficCounted.Info(h.log).Interface("talk", counts).Send()
	}
}
