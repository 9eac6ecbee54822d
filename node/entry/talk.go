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
const talkInterval = 5 * time.Second

// The purposes of datagrams to other hosts. Calls to the store are counted by
// their name and result.
const (
	talkFloor        = "datagram floor"
	talkOpinion      = "datagram opinion"
	talkAnnouncement = "datagram announcement"
	talkAlive        = "datagram alive"
	talkQuota        = "datagram quota"
	talkStore        = "store "
)

// What became of the statements that needed a connection to a member. An opened one
// costs the member as much as a statement.
const (
	connectionFound   = "connection found"
	connectionOpened  = "connection opened"
	connectionEvicted = "connection closed for another team"
)

// talkCounts counts what a host sends for control, by purpose. It is safe for
// concurrent use; its lock is a leaf.
type talkCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func newTalkCounts() *talkCounts { return &talkCounts{counts: map[string]int{}} }

func (c *talkCounts) add(purpose string) { c.addMany(purpose, 1) }

func (c *talkCounts) addMany(purpose string, n int) {
	if n == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[purpose] += n
}

// take returns the counts since it was last called.
func (c *talkCounts) take() map[string]int {
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
		h.talk.addMany(connectionFound, c.Reused)
		h.talk.addMany(connectionOpened, c.Opened)
		h.talk.addMany(connectionEvicted, c.Evicted)
		h.metrics.connections(s.Service(), c)
	}
}

// logTalk logs what this host sent for control, until the context ends and once
// more then.
func (h *Host) logTalk(ctx context.Context) {
	clock.Every(ctx, talkInterval, h.writeTalk)
	h.writeTalk()
}

// storeCalled counts a call to the platform's store.
func (h *Host) storeCalled(call registry.CallName, result string) {
	h.metrics.storeCall(call, result)
	h.talk.add(talkStore + string(call) + " " + result)
}

func (h *Host) writeTalk() {
	h.countConnections()
	if counts := h.talk.take(); len(counts) > 0 {
		eventlog.TalkCounted.Info(h.log).Interface("talk", counts).Send()
	}
}
