package dbgroup

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// Links provides the one-way latency and the reachability between two member
// addresses.
type Links interface {
	Delay(a, b string) time.Duration
	Reachable(a, b string) bool
}

// Group is a database group whose first member starts as the primary of term 1.
type Group struct {
	name    string
	links   Links
	members []*Member
}

// NewGroup starts a group whose members listen on loopback addresses. A nil
// links means no latency and full reachability.
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
	const initialTerm logpos.Term = 1
	for i, m := range g.members {
		m.grantTerm(initialTerm, "initial")
		if i == 0 {
			m.promote(initialTerm, "initial")
		} else {
			m.follow(initialTerm, g.members[0])
		}
	}
	return g, nil
}

// Name returns the group's name, which is also its service name.
func (g *Group) Name() string { return g.name }

// Members returns the members in configuration order.
func (g *Group) Members() []*Member { return g.members }

// Member returns the named member, or nil.
func (g *Group) Member(name string) *Member {
	for _, m := range g.members {
		if m.cfg.Name == name {
			return m
		}
	}
	return nil
}

// Primary returns the available primary of the newest term, or nil.
func (g *Group) Primary() *Member {
	var primary *Member
	var newestTerm logpos.Term
	for _, m := range g.members {
		st := m.Status()
		if st.Primary && !m.faults.unavailable() && st.GrantedTerm > newestTerm {
			primary, newestTerm = m, st.GrantedTerm
		}
	}
	return primary
}

// linkState returns the latency from a to b and whether b is reachable.
func (g *Group) linkState(a, b *Member) (time.Duration, bool) {
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
