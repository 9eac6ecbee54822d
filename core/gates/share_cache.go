package gates

import "github.com/dotterelswitch/dotterelswitch/core/membership"

// ShareCache caches one host's shares of the connections of a service's members. When
// the fleet changes, only the shares that the change affects are recomputed
// (BenchmarkShares). It is not safe for concurrent use.
type ShareCache struct {
	host string
	// generation is the generation of the fleet that the rankings were computed from.
	generation uint64
	byMember   map[string]*cachedShare
}

// cachedShare is the cached share of one member's connections and the inputs it was
// computed from.
type cachedShare struct {
	member Member
	// connections is how many connections the member accepted.
	connections int
	top         *membership.TopHosts
	share       Share
	// valid is set if share is up to date with the other fields.
	valid bool
}

// NewShareCache returns an empty cache for a host.
func NewShareCache(host string) *ShareCache {
	return &ShareCache{host: host, byMember: map[string]*cachedShare{}}
}

// For returns the host's share of a member's connections, equal to that of the plan.
func (s *ShareCache) For(p Plan, m Member) Share {
	c := s.ranking(p, m)
	if !c.valid || c.member != m || c.connections != p.connections {
		c.member, c.connections = m, p.connections
		c.share, c.valid = p.share(m, s.host, c.top), true
	}
	return c.share
}

// IsGate reports whether the host is a gate of a member. It keeps only the ranking of the
// hosts, which takes less memory than a share.
func (s *ShareCache) IsGate(p Plan, m Member) bool { return s.ranking(p, m).top.Contains(s.host) }

// ranking returns the cached share of a member with an up-to-date ranking of the hosts.
func (s *ShareCache) ranking(p Plan, m Member) *cachedShare {
	s.update(p.fleet)
	c, found := s.byMember[m.ID]
	if !found || c.member.Zone != m.Zone || c.top.Stale() || c.top.Size() != p.gateCount(m) {
		c = &cachedShare{member: m, top: p.fleet.nearestHosts(m, p.gateCount(m))}
		s.byMember[m.ID] = c
	}
	return c
}

// Retain forgets the members that are not listed.
func (s *ShareCache) Retain(listed map[string]bool) {
	for id := range s.byMember {
		if !listed[id] {
			delete(s.byMember, id)
		}
	}
}

// Forget removes a member that no longer exists.
func (s *ShareCache) Forget(member string) { delete(s.byMember, member) }

// update applies the changes of a fleet to the rankings.
func (s *ShareCache) update(f Fleet) {
	change, known := f.ChangeSince(s.generation)
	s.generation = f.generation
	if !known {
		clear(s.byMember)
		return
	}
	if len(change.Joined) == 0 && len(change.Left) == 0 {
		return
	}
	for _, c := range s.byMember {
		c.update(change, f)
	}
}

func (c *cachedShare) update(change Change, f Fleet) {
	for _, h := range change.Left {
		if c.top.Remove(h.Name) {
			c.valid = false
		}
	}
	for _, h := range change.Joined {
		if c.top.Add(h.Name, f.tier(h, c.member.Zone)) {
			c.valid = false
		}
	}
}
