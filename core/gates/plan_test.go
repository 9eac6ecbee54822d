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

// TestFewConnectionsMakeFewGates replays the small archive: 15 connections for
// 9 hosts leave less than two for each.
func TestFewConnectionsMakeFewGates(t *testing.T) {
	hosts := fleet("a1", "a1", "a1", "a1", "a2", "a2", "a2", "b1", "b1")
	plan := gates.NewPlan(gates.NewFleet(hosts, regions), 15)
	isGate := 0
	for _, h := range hosts {
		s := plan.For(gates.Member{ID: "m", Zone: "a2"}, h.Name)
		if len(s.Gates) == 0 {
			isGate++
			require.Equal(t, "a2", h.Zone, "gates are near the member")
			require.Equal(t, 7, s.Limits.MaxOpen)
			continue
		}
		require.Len(t, s.Gates, 2)
		require.Equal(t, 2, s.Limits.MaxOpen)
		require.Zero(t, s.Limits.FairShare, "stray connections are closed at once")
	}
	require.Equal(t, 2, isGate)
}

func TestEnoughConnectionsMakeEveryHostAGate(t *testing.T) {
	hosts := fleet("a1", "a2", "b1")
	plan := gates.NewPlan(gates.NewFleet(hosts, regions), 54)
	for _, h := range hosts {
		s := plan.For(gates.Member{ID: "m", Zone: "a1"}, h.Name)
		require.Empty(t, s.Gates)
		require.Equal(t, 18, s.Limits.MaxOpen)
	}
}

func TestAHostAloneKeepsAll(t *testing.T) {
	require.Empty(t, gates.NewPlan(gates.NewFleet(nil, nil), 15).For(gates.Member{ID: "m", Zone: "a1"}, "h").Gates)
	require.Equal(t, 15, gates.NewPlan(gates.NewFleet(nil, nil), 15).For(gates.Member{ID: "m", Zone: "a1"}, "h").Limits.MaxOpen)
}

// TestSharesNeverExceedTheMember: whatever the fleet, the gates together open
// no more than there is, and all hosts agree who they are.
func TestSharesNeverExceedTheMember(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.SliceOfN(rapid.SampledFrom([]string{"a1", "a2", "b1"}), 1, 40).Draw(t, "zones")
		hosts := fleet(zones...)
		connections := rapid.IntRange(1, 200).Draw(t, "connections")
		plan := gates.NewPlan(gates.NewFleet(hosts, regions), connections)
		sum, gateCount := 0, 0
		named := map[string]bool{}
		for _, h := range hosts {
			s := plan.For(gates.Member{ID: "m", Zone: "a1"}, h.Name)
			if len(s.Gates) == 0 {
				sum += s.Limits.MaxOpen
				gateCount++
				continue
			}
			for _, address := range s.Gates {
				named[address] = true
			}
		}
		if sum > max(connections, gateCount) {
			t.Fatalf("%d gates open %d of %d connections", gateCount, sum, connections)
		}
		if len(named) > 0 && len(named) != gateCount {
			t.Fatalf("%d gates, but hosts send to %d", gateCount, len(named))
		}
	})
}

// TestFleetChangeMovesLittle: one host that leaves moves no gate but its own.
func TestFleetChangeMovesLittle(t *testing.T) {
	hosts := fleet("a1", "a1", "a1", "a1", "a1", "a1")
	before := gates.NewPlan(gates.NewFleet(hosts, regions), 15)
	after := gates.NewPlan(gates.NewFleet(hosts[1:], regions), 15)
	for _, h := range hosts[1:] {
		if len(before.For(gates.Member{ID: "m", Zone: "a1"}, h.Name).Gates) == 0 {
			require.Empty(t, after.For(gates.Member{ID: "m", Zone: "a1"}, h.Name).Gates, "a gate stays one")
		}
	}
}

// TestGatesSendNoMoreThanAMemberQueues replays the grown booking platform: 175
// connections for 74 hosts, to a member with 6 slots. All of them at once would
// be turned away for the most part.
func TestGatesSendNoMoreThanAMemberQueues(t *testing.T) {
	var zones []string
	for range 74 {
		zones = append(zones, "a1")
	}
	hosts := fleet(zones...)
	plan := gates.NewPlan(gates.NewFleet(hosts, regions), 175)
	sum := 0
	for _, h := range hosts {
		if s := plan.For(gates.Member{ID: "m", Zone: "a1", Slots: 6}, h.Name); len(s.Gates) == 0 {
			sum += s.Limits.MaxActive
		}
	}
	require.LessOrEqual(t, sum, 66)
	require.GreaterOrEqual(t, sum, 60, "a member is kept at work")
}

// TestConnectionsAreLeftForAFleetThatReturns: of 33 connections of a member with two
// slots, the gates keep 27 for teams and use 22 at once.
func TestConnectionsAreLeftForAFleetThatReturns(t *testing.T) {
	hosts := fleet("a1", "a1", "a1", "a1", "a2", "a2", "b1", "b1")
	plan := gates.NewPlan(gates.NewFleet(hosts, regions), 33)
	kept, busy := 0, 0
	for _, h := range hosts {
		if s := plan.For(gates.Member{ID: "m", Zone: "a1", Slots: 2}, h.Name); len(s.Gates) == 0 {
			kept += s.Limits.MaxOpen
			busy += s.Limits.MaxActive
		}
	}
	require.Equal(t, 27, kept)
	require.LessOrEqual(t, busy, 22)
}

// TestTeamMeetsAtOneGate: all hosts send a team's statements to the same gate, teams
// spread over the gates, and a gate that is lost moves only its own teams.
func TestTeamMeetsAtOneGate(t *testing.T) {
	hosts := fleet("a1", "a1", "a1", "a1", "a2", "a2", "b1", "b1")
	m := gates.Member{ID: "m", Zone: "a1", Slots: 2}
	gateOf := func(hosts []gates.Host, team string) string {
		gate := ""
		for _, h := range hosts {
			share := gates.NewPlan(gates.NewFleet(hosts, regions), 33).For(m, h.Name)
			route := share.RouteOf(team, m.ID, h.Name)
			first := h.Address
			if len(route) > 0 {
				first = route[0]
			}
			if gate != "" && gate != first {
				t.Fatalf("team %s meets at %s and at %s", team, gate, first)
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
	var left []gates.Host
	for _, h := range hosts {
		if h.Address != lost {
			left = append(left, h)
		}
	}
	for team, gate := range before {
		after := gateOf(left, team)
		if gate != lost && after != gate && used[after] > 0 {
			t.Fatalf("team %s has moved from %s to %s, which both stay", team, gate, after)
		}
	}
}
