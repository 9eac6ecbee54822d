package replicaset

import (
	"slices"
	"strings"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
	"github.com/dotterelswitch/dotterelswitch/core/gateload"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/outlier"
)

// Stats are the metrics of a set.
type Stats struct {
	// Connections and Waiting are sums over the members.
	Connections, Waiting int
	Term                 logpos.Term
	// FloorAge is the age of the latest floor; zero if there is none.
	FloorAge time.Duration
}

// MemberStats is the state of a member as shown to operators.
type MemberStats struct {
	ID, Address, Zone string
	Slots             int
	// Leaving is announced by the member; Failing and Dead are this host's
	// assessment.
	Leaving, Failing, Dead bool
	// Position is the latest known end of the member's log, observed
	// PositionAge ago.
	Position    logpos.Position
	PositionAge time.Duration
	// Connections, InUse and Waiting count this host's own connections and
	// waiters. RemoteInFlight counts the statements in progress through Gates.
	Connections, InUse, Waiting, RemoteInFlight int
	Gates                                       []string
	// GateLoads are the loads that the gates on other hosts have reported lately.
	GateLoads []gateload.Known
	// ByTeam counts this host's connections by team.
	ByTeam map[string]int
	// Queues count this host's waiters by team and priority, the longest first.
	Queues []connpool.TeamQueue
	// Ejection is the verdict that keeps reads away from the member; zero if there is
	// none.
	Ejection outlier.Ejection
}

// TakeConnectionCounts returns the pools' counts since the last call.
func (s *Set) TakeConnectionCounts() connpool.Counts {
	var sum connpool.Counts
	for _, m := range s.Members() {
		m.mu.Lock()
		sum.Add(m.pool.TakeCounts())
		m.mu.Unlock()
	}
	return sum
}

func (s *Set) Service() string { return s.service }

func (s *Set) Stats(now time.Duration) Stats {
	st := Stats{Term: s.Term()}
	for _, m := range s.Members() {
		memberStats := m.stats(now)
		st.Connections += memberStats.Connections
		st.Waiting += memberStats.Waiting
	}
	if f, found := s.Floor(); found {
		st.FloorAge = now - f.AsOf
	}
	return st
}

// MemberStats returns the state of every member, sorted by name.
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
		Leaving: m.entry.Leaving, Failing: m.health.Failing(), Dead: m.health.Dead(now, m.confirmedByPeers), Position: m.position, PositionAge: now - m.positionAt,
		Connections: m.pool.Open(), InUse: m.pool.InUse(), Waiting: m.pool.Waiting(), RemoteInFlight: m.remoteInFlight, Gates: m.share.GateAddresses,
		ByTeam: m.pool.OpenByTeam(), Queues: m.pool.Queues(), GateLoads: m.loads.All(now), Ejection: m.ejection(now),
	}
}
