package group_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/group"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// message is an order to a member, a reply to a host, or a replica's
// acknowledgement, in transit.
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

// ackedWrite is a write that a host acknowledged, confirmed by the primary of
// term.
type ackedWrite struct {
	position logpos.Position
	term     logpos.Term
	at       time.Duration
}

// pendingWrite is a write whose host waits for its confirmation.
type pendingWrite struct {
	host     int
	position logpos.Position
}

// cluster simulates a group, the hosts that monitor it, and a network that
// reorders, delays, duplicates and drops messages. All choices follow from one
// seed drawn by rapid.
type cluster struct {
	t         *rapid.T
	rng       *rand.Rand
	now       time.Duration
	members   []*modelMember
	hosts     []*group.Controller
	network   []message
	pending   []pendingWrite
	acked     []ackedWrite
	primaryOf map[logpos.Term]string
	observed  []logpos.Position
	// cutMembers and cutHosts are on the far side of a network partition.
	cutMembers map[string]bool
	cutHosts   map[int]bool
}

var testTiming = group.Timing{
	Heartbeat: 10, FastHeartbeat: 5, SuspectAfter: 30, RefusedAfter: 15,
	ContactWindow: 10, MaxHoldOff: 60, Stagger: 10, ReplyTimeout: 40,
}

func newCluster(t *rapid.T) *cluster {
	seed := rapid.Uint64().Draw(t, "seed")
	c := &cluster{t: t, rng: rand.New(rand.NewPCG(seed, 0)), primaryOf: map[logpos.Term]string{}}
	var names []string
	for i := range rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "members") {
		m := &modelMember{name: fmt.Sprintf("m%d", i), up: true, grantedTo: -1}
		m.claim(1, 100)
		if i == 0 {
			m.promote(1, 100)
			c.primaryOf[1] = m.name
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

// randomInt returns a uniformly distributed number from low to high. Rapid's
// own ranges favour small numbers, with which promotions never complete.
func (c *cluster) randomInt(low, high int) int { return low + c.rng.IntN(high-low+1) }

func (c *cluster) member(name string) *modelMember {
	for _, m := range c.members {
		if m.name == name {
			return m
		}
	}
	return nil
}

func (c *cluster) randomMember() *modelMember {
	return c.members[c.randomInt(0, len(c.members)-1)]
}

func (c *cluster) randomHost() int { return c.randomInt(0, len(c.hosts)-1) }

func (c *cluster) send(host int, actions []group.Action) {
	for _, a := range actions {
		if a.Kind != group.Record {
			c.network = append(c.network, message{host: host, action: a, sent: c.now})
		}
	}
}

func (c *cluster) tick() {
	c.now += time.Duration(c.randomInt(0, 25))
	h := c.randomHost()
	c.send(h, c.hosts[h].Tick(c.now))
}

// switchover has a host replace a healthy member.
func (c *cluster) switchover() {
	h := c.randomHost()
	c.send(h, c.hosts[h].Switchover(c.now, []string{c.randomMember().name}))
}

// deliver delivers a random message, which may stay in the network as a
// duplicate.
func (c *cluster) deliver() {
	if len(c.network) == 0 {
		return
	}
	i := c.randomInt(0, min(len(c.network)-1, 12))
	m := c.network[i]
	if c.crosses(m) {
		// The message is lost or delayed until after the partition.
		c.network = append(c.network[:i:i], c.network[i+1:]...)
		if c.randomInt(0, 1) == 0 {
			c.network = append(c.network, m)
		}
		return
	}
	if c.randomInt(0, 9) != 0 {
		c.network = append(c.network[:i:i], c.network[i+1:]...)
	}
	switch {
	case m.replica != "":
		p := c.member(m.action.Member)
		if p.primary && p.grantedTerm == m.action.Term {
			p.acks[m.replica] = m.ack
		}
	case m.reply:
		c.answer(m)
	default:
		c.execute(m)
	}
}

// crosses reports whether a message has to cross the partition.
func (c *cluster) crosses(m message) bool {
	far := c.cutMembers[m.action.Member]
	if m.replica != "" {
		return far != c.cutMembers[m.replica]
	}
	return far != c.cutHosts[m.host]
}

// partition starts a partition of some members and hosts, or ends the current
// one.
func (c *cluster) partition() {
	if len(c.cutMembers) > 0 {
		c.cutMembers, c.cutHosts = nil, nil
		return
	}
	c.cutMembers, c.cutHosts = map[string]bool{}, map[int]bool{}
	for range c.randomInt(1, len(c.members)/2) {
		c.cutMembers[c.randomMember().name] = true
	}
	c.cutHosts[c.randomHost()] = true
}

// burst delivers many messages, so that most delays are short.
func (c *cluster) burst() {
	for range c.randomInt(0, 20) {
		c.deliver()
	}
}

// execute has a member execute an order and sends its reply.
func (c *cluster) execute(m message) {
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

// promote checks that a term has one primary, and that a new primary has every
// write acknowledged so far.
func (c *cluster) promote(target *modelMember, m message) bool {
	wasPrimary := target.primary
	done := target.promote(m.action.Term, m.host)
	if !done || wasPrimary {
		return done
	}
	if other, taken := c.primaryOf[m.action.Term]; taken && other != target.name {
		c.t.Fatalf("term %d has two primaries, %s and %s", m.action.Term, other, target.name)
	}
	c.primaryOf[m.action.Term] = target.name
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

// write has a host append an entry on a member that acts as primary.
func (c *cluster) write() {
	m := c.randomMember()
	if m.up && m.primary {
		c.pending = append(c.pending, pendingWrite{host: c.randomHost(), position: m.append(m.grantedTerm)})
	}
}

// replicate copies entries to a replica and sends its acknowledgement.
func (c *cluster) replicate() {
	m := c.randomMember()
	p := c.member(c.primaryOf[m.follows])
	if p == nil || !p.up || !m.up || c.cutMembers[p.name] != c.cutMembers[m.name] {
		return
	}
	m.replicate(p, c.randomInt(0, 3))
	c.network = append(c.network, message{
		action: group.Action{Member: p.name, Term: m.follows}, replica: m.name, ack: m.last(),
	})
	c.observed = append(c.observed, m.last())
}

// crash stops a member or restarts it with its log and terms.
func (c *cluster) crash() {
	m := c.randomMember()
	for _, other := range c.members {
		if !other.up {
			m = other // only one is down at a time, so that a majority remains
		}
	}
	m.up = !m.up
	if m.up {
		m.primary, m.follows = false, 0
	}
}

// drop removes a random message from the network.
func (c *cluster) drop() {
	if n := len(c.network); n > 0 {
		i := c.randomInt(0, n-1)
		c.network = append(c.network[:i:i], c.network[i+1:]...)
	}
}

// acknowledge has the hosts acknowledge the writes that they take to be
// committed. A primary of an older term than the confirming one may lack the
// write, since it can no longer confirm anything.
func (c *cluster) acknowledge() {
	remaining := c.pending[:0]
	for _, p := range c.pending {
		if c.hosts[p.host].View().EntryState(p.position) != group.Committed {
			remaining = append(remaining, p)
			continue
		}
		by, _ := c.hosts[p.host].View().Primary()
		for term, name := range c.primaryOf {
			if m := c.member(name); term >= by.GrantedTerm && m.grantedTerm == term && !m.holds(p.position) {
				c.t.Fatalf("write %s is acknowledged, but %s, primary of term %d, lacks it", p.position, name, term)
			}
		}
		c.acked = append(c.acked, ackedWrite{position: p.position, term: by.GrantedTerm, at: c.now})
	}
	c.pending = remaining
}

// checkFreshness checks that a member which a host takes to be fresh as of some
// time holds every write acknowledged before that time.
func (c *cluster) checkFreshness() {
	m := c.randomMember()
	at := m.last()
	fresh, known := c.hosts[c.randomHost()].View().FreshAsOf(at)
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
		if m.primary && (newest == nil || m.grantedTerm > newest.grantedTerm) {
			newest = m
		}
	}
	if newest == nil {
		return
	}
	for _, p := range c.observed {
		if p.Term < newest.grantedTerm {
			if required, _ := newest.history.Clamp(p); int(required) > len(newest.log) {
				c.t.Fatalf("token %s waits for offset %d of %d", p, required, len(newest.log))
			}
		}
	}
}
