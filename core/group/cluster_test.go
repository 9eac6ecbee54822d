package group_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/group"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// message is an order on its way to a member, or an answer on its way back.
type message struct {
	host    int
	action  group.Action
	sent    time.Duration
	reply   bool
	done    bool
	status  group.Status
	replica string
	ack     logpos.Position
}

// acked is a write that some host acknowledged on the word of term's primary.
type acked struct {
	position logpos.Position
	term     logpos.Term
	at       time.Duration
}

// pending is a write whose host waits for its confirmation.
type pending struct {
	host     int
	position logpos.Position
}

// cluster is a group, the hosts that watch it, and a network that may reorder,
// delay, duplicate and drop. Every choice follows from a seed that rapid draws.
type cluster struct {
	t        *rapid.T
	rng      *rand.Rand
	now      time.Duration
	members  []*modelMember
	hosts    []*group.Controller
	network  []message
	pending  []pending
	acked    []acked
	primary  map[logpos.Term]string
	observed []logpos.Position
	// cut holds the members and hosts on the far side of a partition.
	cutMembers map[string]bool
	cutHosts   map[int]bool
}

var testTiming = group.Timing{
	Heartbeat: 10, FastHeartbeat: 5, SuspectAfter: 30, RefusedAfter: 15,
	HeardWithin: 10, Patience: 60, Stagger: 10, ReplyTimeout: 40,
}

func newCluster(t *rapid.T) *cluster {
	seed := rapid.Uint64().Draw(t, "seed")
	c := &cluster{t: t, rng: rand.New(rand.NewPCG(seed, 0)), primary: map[logpos.Term]string{}}
	var names []string
	for i := range rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "members") {
		m := &modelMember{name: fmt.Sprintf("m%d", i), up: true, claimant: -1}
		m.claim(1, 100)
		if i == 0 {
			m.promote(1, 100)
			c.primary[1] = m.name
		} else {
			m.follow(1)
		}
		c.members = append(c.members, m)
		names = append(names, m.name)
	}
	for i := range 3 {
		c.hosts = append(c.hosts, group.NewController(names, i, testTiming, 1))
	}
	return c
}

// pick returns a number from low to high, all equally likely. Rapid's own
// ranges favour small numbers, with which promotions never complete.
func (c *cluster) pick(low, high int) int { return low + c.rng.IntN(high-low+1) }

func (c *cluster) member(name string) *modelMember {
	for _, m := range c.members {
		if m.name == name {
			return m
		}
	}
	return nil
}

func (c *cluster) drawMember() *modelMember {
	return c.members[c.pick(0, len(c.members)-1)]
}

func (c *cluster) drawHost() int { return c.pick(0, len(c.hosts)-1) }

func (c *cluster) send(host int, actions []group.Action) {
	for _, a := range actions {
		if a.Kind != group.Record {
			c.network = append(c.network, message{host: host, action: a, sent: c.now})
		}
	}
}

func (c *cluster) tick() {
	c.now += time.Duration(c.pick(0, 25))
	h := c.drawHost()
	c.send(h, c.hosts[h].Tick(c.now))
}

// handover has a host replace a member that works.
func (c *cluster) handover() {
	h := c.drawHost()
	c.send(h, c.hosts[h].Handover(c.now, []string{c.drawMember().name}))
}

// deliver takes any message from the network; it may stay to arrive again.
func (c *cluster) deliver() {
	if len(c.network) == 0 {
		return
	}
	i := c.pick(0, min(len(c.network)-1, 12))
	m := c.network[i]
	if c.crosses(m) {
		// It is lost, or arrives when the partition is over.
		c.network = append(c.network[:i:i], c.network[i+1:]...)
		if c.pick(0, 1) == 0 {
			c.network = append(c.network, m)
		}
		return
	}
	if c.pick(0, 9) != 0 {
		c.network = append(c.network[:i:i], c.network[i+1:]...)
	}
	switch {
	case m.replica != "":
		p := c.member(m.action.Member)
		if p.primary && p.claimed == m.action.Term {
			p.acks[m.replica] = m.ack
		}
	case m.reply:
		c.answer(m)
	default:
		c.order(m)
	}
}

// crosses reports whether a message has to pass the partition.
func (c *cluster) crosses(m message) bool {
	far := c.cutMembers[m.action.Member]
	if m.replica != "" {
		return far != c.cutMembers[m.replica]
	}
	return far != c.cutHosts[m.host]
}

// partition cuts some members and hosts off, or ends a partition.
func (c *cluster) partition() {
	if len(c.cutMembers) > 0 {
		c.cutMembers, c.cutHosts = nil, nil
		return
	}
	c.cutMembers, c.cutHosts = map[string]bool{}, map[int]bool{}
	for range c.pick(1, len(c.members)/2) {
		c.cutMembers[c.drawMember().name] = true
	}
	c.cutHosts[c.drawHost()] = true
}

// burst delivers many messages, so that delays stay short on the whole.
func (c *cluster) burst() {
	for range c.pick(0, 20) {
		c.deliver()
	}
}

// order has a member carry out an order and puts its answer on the network.
func (c *cluster) order(m message) {
	target := c.member(m.action.Member)
	if !target.up {
		if m.action.Kind == group.Probe {
			c.hosts[m.host].OnProbeFailed(m.action.Member, m.sent, c.now, true)
		}
		return
	}
	done := true
	switch m.action.Kind {
	case group.Claim:
		done = target.claim(m.action.Term, m.host)
	case group.Promote:
		done = c.promote(target, m)
	case group.Follow:
		target.follow(m.action.Term)
	}
	m.reply, m.done, m.status = true, done, target.status()
	c.network = append(c.network, m)
}

// promote checks the two promises about a new primary: there is one for each
// term, and it holds every write acknowledged so far.
func (c *cluster) promote(target *modelMember, m message) bool {
	was := target.primary
	done := target.promote(m.action.Term, m.host)
	if !done || was {
		return done
	}
	if other, taken := c.primary[m.action.Term]; taken && other != target.name {
		c.t.Fatalf("term %d has two primaries, %s and %s", m.action.Term, other, target.name)
	}
	c.primary[m.action.Term] = target.name
	for _, w := range c.acked {
		if m.action.Term > w.term && !target.holds(w.position) {
			c.t.Fatalf("acknowledged write %s is missing from %s, primary of term %d", w.position, target.name, m.action.Term)
		}
	}
	return done
}

func (c *cluster) answer(m message) {
	h := c.hosts[m.host]
	switch m.action.Kind {
	case group.Probe:
		c.send(m.host, h.OnStatus(m.status, m.sent, c.now))
	case group.Claim:
		c.send(m.host, h.OnClaimReply(m.action.Term, m.done, m.status, m.sent, c.now))
	case group.Promote:
		c.send(m.host, h.OnPromoteReply(m.action.Term, m.done, m.status, m.sent, c.now))
	}
}

// write has a host append an entry on a member that believes it is primary.
func (c *cluster) write() {
	m := c.drawMember()
	if m.up && m.primary {
		c.pending = append(c.pending, pending{host: c.drawHost(), position: m.append(m.claimed)})
	}
}

// replicate moves entries to a replica and its acknowledgement to the network.
func (c *cluster) replicate() {
	m := c.drawMember()
	p := c.member(c.primary[m.follows])
	if p == nil || !p.up || !m.up || c.cutMembers[p.name] != c.cutMembers[m.name] {
		return
	}
	m.replicate(p, c.pick(0, 3))
	c.network = append(c.network, message{
		action: group.Action{Member: p.name, Term: m.follows}, replica: m.name, ack: m.last(),
	})
	c.observed = append(c.observed, m.last())
}

// crash stops a member or brings it back; it keeps its log and its terms.
func (c *cluster) crash() {
	m := c.drawMember()
	for _, other := range c.members {
		if !other.up {
			m = other // one at a time, so that there is a majority
		}
	}
	m.up = !m.up
	if m.up {
		m.primary, m.follows = false, 0
	}
}

// drop loses a message.
func (c *cluster) drop() {
	if n := len(c.network); n > 0 {
		i := c.pick(0, n-1)
		c.network = append(c.network[:i:i], c.network[i+1:]...)
	}
}

// acknowledge lets the hosts answer the writes that they believe are safe. A
// primary of an older term than the one that confirmed a write may lack it: it
// can confirm nothing any more.
func (c *cluster) acknowledge() {
	kept := c.pending[:0]
	for _, p := range c.pending {
		if c.hosts[p.host].View().Landing(p.position) != group.Confirmed {
			kept = append(kept, p)
			continue
		}
		by, _ := c.hosts[p.host].View().Primary()
		for term, name := range c.primary {
			if m := c.member(name); term >= by.Claimed && m.claimed == term && !m.holds(p.position) {
				c.t.Fatalf("write %s is acknowledged, but %s, primary of term %d, lacks it", p.position, name, term)
			}
		}
		c.acked = append(c.acked, acked{position: p.position, term: by.Claimed, at: c.now})
	}
	c.pending = kept
}

// checkFresh checks that a member which a host believes to be fresh as of some
// time holds every write acknowledged before that time.
func (c *cluster) checkFresh() {
	m := c.drawMember()
	at := m.last()
	fresh, known := c.hosts[c.drawHost()].View().FreshAt(at)
	if !known {
		return
	}
	for _, w := range c.acked {
		if w.at < fresh && !m.holds(w.position) {
			c.t.Fatalf("%s at %s counts as fresh at %d but lacks %s, acknowledged at %d", m.name, at, fresh, w.position, w.at)
		}
	}
}

// checkTokens checks that a session never waits for an entry that the newest
// primary does not have.
func (c *cluster) checkTokens() {
	var newest *modelMember
	for _, m := range c.members {
		if m.primary && (newest == nil || m.claimed > newest.claimed) {
			newest = m
		}
	}
	if newest == nil {
		return
	}
	for _, p := range c.observed {
		if p.Term < newest.claimed {
			if seen, _ := newest.history.Clamp(p); int(seen) > len(newest.log) {
				c.t.Fatalf("token %s waits for offset %d of %d", p, seen, len(newest.log))
			}
		}
	}
}
