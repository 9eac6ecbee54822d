package replicaset

import (
	"slices"
	"strings"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// Stats is a set as metrics show it.
type Stats struct {
	// Connections and Waiting are sums over the members.
	Connections, Waiting int
	Term                 logpos.Term
	// FloorAge is how old the newest floor is; zero while there is none.
	FloorAge time.Duration
}

// MemberStats is a member as an operator sees it.
type MemberStats struct {
	ID, Address, Zone string
	Slots             int
	// Leaving is the member's own announcement, Failing and Dead are this host's
	// evidence.
	Leaving, Failing, Dead bool
	// Held is the end of its log when that was last seen, HeldAgo ago.
	Held    logpos.Position
	HeldAgo time.Duration
	// Connections, InUse and Waiting are this host's own; Elsewhere counts the
	// statements that run through Gates.
	Connections, InUse, Waiting, Elsewhere int
	Gates                                  []string
	// ByTeam counts this host's connections by team.
	ByTeam map[string]int
}

// TakeConnectionCounts returns what this host's pools have done since it was last
// called.
func (s *Set) TakeConnectionCounts() connpool.Counts {
	var sum connpool.Counts
	for _, m := range s.Members() {
		m.mu.Lock()
		sum.Add(m.pool.TakeCounts())
		m.mu.Unlock()
	}
	return sum
}

// Service returns the name of the service.
func (s *Set) Service() string { return s.service }

// Stats returns the figures of this moment.
func (s *Set) Stats(now time.Duration) Stats {
	st := Stats{Term: s.Term()}
	for _, m := range s.Members() {
		of := m.stats(now)
		st.Connections += of.Connections
		st.Waiting += of.Waiting
	}
	if f, found := s.Floor(); found {
		st.FloorAge = now - f.Sent
	}
	return st
}

// MemberStats returns the figures of every member, by name.
func (s *Set) MemberStats(now time.Duration) []MemberStats {
	members := s.Members()
	slices.SortFunc(members, func(a, b *Member) int { return strings.Compare(a.id, b.id) })
	out := make([]MemberStats, 0, len(members))
	for _, m := range members {
		out = append(out, m.stats(now))
	}
	return out
}

func (m *Member) stats(now time.Duration) MemberStats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return MemberStats{
		ID: m.id, Address: m.address, Zone: m.entry.Zone, Slots: m.entry.Slots,
		Leaving: m.entry.Leaving, Failing: m.health.Failing(), Dead: m.health.Dead(now, m.corroborated), Held: m.held, HeldAgo: now - m.heldAt,
		Connections: m.pool.Open(), InUse: m.pool.InUse(), Waiting: m.pool.Waiting(), Elsewhere: m.elsewhere, Gates: m.share.GateAddresses,
		ByTeam: m.pool.OpenByTeam(),
	}
}
