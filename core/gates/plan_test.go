package gates_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/fixedseed"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

var regions = map[string]string{"a1": "a", "a2": "a", "b1": "b"}

func fleet(zones ...string) []gates.Host {
	var out []gates.Host
	for i, z := range zones {
		out = append(out, gates.Host{Name: fmt.Sprintf("h%d", i), Zone: z, Address: fmt.Sprintf("addr%d", i)})
	}
	return out
}

// TestFewConnectionsMakeFewGates divides 15 connections among 9 hosts: less than two
// per host.
func TestFewConnectionsMakeFewGates(t *testing.T) {
	hosts := fleet("a1", "a1", "a1", "a1", "a2", "a2", "a2", "b1", "b1")
	plan := gates.NewPlan(gates.NewFleet(hosts, regions), 15)
	gateCount := 0
	for _, h := range hosts {
		s := plan.For(gates.Member{ID: "m", Zone: "a2"}, h.Name)
		if len(s.GateAddresses) == 0 {
			gateCount++
			require.Equal(t, "a2", h.Zone, "gates are in the zone of the member")
			require.Equal(t, 7, s.Limits.MaxOpen)
			continue
		}
		require.Len(t, s.GateAddresses, 2)
		require.Equal(t, 2, s.Limits.MaxOpen)
		require.Zero(t, s.Limits.FairShare, "idle connections of a host that is not a gate are closed")
	}
	require.Equal(t, 2, gateCount)
}

func TestEnoughConnectionsMakeEveryHostAGate(t *testing.T) {
	hosts := fleet("a1", "a2", "b1")
	plan := gates.NewPlan(gates.NewFleet(hosts, regions), 54)
	for _, h := range hosts {
		s := plan.For(gates.Member{ID: "m", Zone: "a1"}, h.Name)
		require.Empty(t, s.GateAddresses)
		require.Equal(t, 18, s.Limits.MaxOpen)
	}
}

func TestSingleHostKeepsAllConnections(t *testing.T) {
	require.Empty(t, gates.NewPlan(gates.NewFleet(nil, nil), 15).For(gates.Member{ID: "m", Zone: "a1"}, "h").GateAddresses)
	require.Equal(t, 15, gates.NewPlan(gates.NewFleet(nil, nil), 15).For(gates.Member{ID: "m", Zone: "a1"}, "h").Limits.MaxOpen)
}

// TestSharesNeverExceedTheMemberLimit checks random fleets: the gates together open no
// more connections than the member accepts, and all hosts agree on the gates.
func TestSharesNeverExceedTheMemberLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.SliceOfN(rapid.SampledFrom([]string{"a1", "a2", "b1"}), 1, 40).Draw(t, "zones")
		hosts := fleet(zones...)
		connections := rapid.IntRange(1, 200).Draw(t, "connections")
		plan := gates.NewPlan(gates.NewFleet(hosts, regions), connections)
		sum, gateCount := 0, 0
		named := map[string]bool{}
		for _, h := range hosts {
			s := plan.For(gates.Member{ID: "m", Zone: "a1"}, h.Name)
			if len(s.GateAddresses) == 0 {
				sum += s.Limits.MaxOpen
				gateCount++
				continue
			}
			for _, address := range s.GateAddresses {
				named[address] = true
			}
		}
		if sum > max(connections, gateCount) {
			t.Fatalf("%d gates open %d of %d connections", gateCount, sum, connections)
		}
		if len(named) > 0 && len(named) != gateCount {
			t.Fatalf("%d gates, but the other hosts send to %d", gateCount, len(named))
		}
	})
}

// TestHostThatLeavesMovesNoOtherGate checks that the remaining gates stay gates when
// one host leaves.
func TestHostThatLeavesMovesNoOtherGate(t *testing.T) {
	hosts := fleet("a1", "a1", "a1", "a1", "a1", "a1")
	before := gates.NewPlan(gates.NewFleet(hosts, regions), 15)
	after := gates.NewPlan(gates.NewFleet(hosts[1:], regions), 15)
	for _, h := range hosts[1:] {
		if len(before.For(gates.Member{ID: "m", Zone: "a1"}, h.Name).GateAddresses) == 0 {
			require.Empty(t, after.For(gates.Member{ID: "m", Zone: "a1"}, h.Name).GateAddresses, "a gate stays a gate")
		}
	}
}

// TestGatesSendNoMoreThanAMemberQueues guards against gates that use all 175
// connections of a member with 6 slots at once: the member would reject most of the
// statements.
func TestGatesSendNoMoreThanAMemberQueues(t *testing.T) {
	var zones []string
	for range 74 {
		zones = append(zones, "a1")
	}
	hosts := fleet(zones...)
	plan := gates.NewPlan(gates.NewFleet(hosts, regions), 175)
	sum := 0
	for _, h := range hosts {
		if s := plan.For(gates.Member{ID: "m", Zone: "a1", Slots: 6}, h.Name); len(s.GateAddresses) == 0 {
			sum += s.Limits.MaxActive
		}
	}
	require.LessOrEqual(t, sum, 66)
	require.GreaterOrEqual(t, sum, 60, "the member's slots are kept busy")
}

// TestConnectionsAreReservedForRestartingFleet checks that of 33 connections of a
// member with two slots the gates pool 27 and use 22 at once.
func TestConnectionsAreReservedForRestartingFleet(t *testing.T) {
	hosts := fleet("a1", "a1", "a1", "a1", "a2", "a2", "b1", "b1")
	plan := gates.NewPlan(gates.NewFleet(hosts, regions), 33)
	pooled, active := 0, 0
	for _, h := range hosts {
		if s := plan.For(gates.Member{ID: "m", Zone: "a1", Slots: 2}, h.Name); len(s.GateAddresses) == 0 {
			pooled += s.Limits.MaxOpen
			active += s.Limits.MaxActive
		}
	}
	require.Equal(t, 27, pooled)
	require.LessOrEqual(t, active, 22)
}

// TestTeamIsRoutedToOneGate checks that all hosts send a team's statements to the same
// gate, that teams spread over the gates, and that losing a gate moves only its own
// teams.
func TestTeamIsRoutedToOneGate(t *testing.T) {
	hosts := fleet("a1", "a1", "a1", "a1", "a2", "a2", "b1", "b1")
	m := gates.Member{ID: "m", Zone: "a1", Slots: 2}
	gateOf := func(hosts []gates.Host, team string) string {
		gate := ""
		for _, h := range hosts {
			share := gates.NewPlan(gates.NewFleet(hosts, regions), 33).For(m, h.Name)
			route := share.GateRoute(team, m.ID, h.Name)
			first := h.Address
			if len(route) > 0 {
				first = route[0]
			}
			if gate != "" && gate != first {
				t.Fatalf("team %s is routed to %s and to %s", team, gate, first)
			}
			gate = first
		}
		return gate
	}
	before := map[string]string{}
	used := map[string]int{}
	for i := range 60 {
		team := fmt.Sprint("team-", i)
		before[team] = gateOf(hosts, team)
		used[before[team]]++
	}
	require.Len(t, used, 3)
	lost := before["team-0"]
	var remaining []gates.Host
	for _, h := range hosts {
		if h.Address != lost {
			remaining = append(remaining, h)
		}
	}
	for team, gate := range before {
		after := gateOf(remaining, team)
		if gate != lost && after != gate && used[after] > 0 {
			t.Fatalf("team %s moved from %s to %s, although both gates remain", team, gate, after)
		}
	}
}
