package dbgroup

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// Links tells the latency between two zones and whether traffic passes.
type Links interface {
	Delay(a, b string) time.Duration
	Reachable(a, b string) bool
}

// Group is a database group whose first member starts as primary of term 1.
type Group struct {
	name    string
	links   Links
	members []*Member
}

// NewGroup starts a group with a listener on loopback for each member.
func NewGroup(name string, configs []MemberConfig, links Links) (*Group, error) {
	g := &Group{name: name, links: links}
	for _, cfg := range configs {
		m := newMember(cfg, g)
		m.server = newServer(m)
		if err := m.server.listen("127.0.0.1:0"); err != nil {
			g.Close()
			return nil, err
		}
		g.members = append(g.members, m)
	}
	const first logpos.Term = 1
	for i, m := range g.members {
		m.claim(first, "initial")
		if i == 0 {
			m.promote(first, "initial")
		} else {
			m.follow(first, g.members[0])
		}
	}
	return g, nil
}

// Name returns the name of the group, which is its service.
func (g *Group) Name() string { return g.name }

// Members returns the members, in order of configuration.
func (g *Group) Members() []*Member { return g.members }

// Member returns a member by name, or nil.
func (g *Group) Member(name string) *Member {
	for _, m := range g.members {
		if m.cfg.Name == name {
			return m
		}
	}
	return nil
}

// Primary returns the member that acts as primary in the newest term, or nil.
func (g *Group) Primary() *Member {
	var best *Member
	var bestTerm logpos.Term
	for _, m := range g.members {
		st := m.Status()
		if st.Primary && !m.faults.down() && st.GrantedTerm > bestTerm {
			best, bestTerm = m, st.GrantedTerm
		}
	}
	return best
}

// link returns the latency from a to b and whether they are connected.
func (g *Group) link(a, b *Member) (time.Duration, bool) {
	if g.links == nil {
		return 0, true
	}
	return g.links.Delay(a.Addr(), b.Addr()), g.links.Reachable(a.Addr(), b.Addr())
}

// Close stops every member.
func (g *Group) Close() {
	for _, m := range g.members {
		m.Crash()
		m.mu.Lock()
		m.stopFollowing()
		m.mu.Unlock()
	}
}
