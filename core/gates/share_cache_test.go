package gates_test

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
)

// TestKeptSharesAreThoseOfThePlan: whatever joins, leaves, moves or is skipped,
// what is kept gives the shares that a plan made anew gives.
func TestKeptSharesAreThoseOfThePlan(t *testing.T) {
	zones := []string{"a1", "a2", "b1"}
	rapid.Check(t, func(t *rapid.T) {
		live := map[string]gates.Host{}
		fleet := gates.NewFleet(nil, regions)
		shares := gates.NewShares("h0")
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			for range rapid.IntRange(0, 3).Draw(t, "changes") {
				toggle(t, live, zones)
			}
			var hosts []gates.Host
			for _, h := range live {
				hosts = append(hosts, h)
			}
			fleet = fleet.Next(hosts)
			if rapid.Bool().Draw(t, "skipped") {
				continue
			}
			plan := gates.NewPlan(fleet, rapid.SampledFrom([]int{5, 15, 60}).Draw(t, "connections"))
			for i, zone := range zones {
				m := gates.Member{ID: fmt.Sprint("m", i), Zone: zone, Slots: rapid.IntRange(0, 3).Draw(t, "slots")}
				if got, want := shares.For(plan, m), plan.For(m, "h0"); !reflect.DeepEqual(want, got) {
					t.Fatalf("member %v of %v: %+v, not %+v", m, hosts, got, want)
				}
			}
		}
	})
}

// toggle has a host join or leave, or come back at another address.
func toggle(t *rapid.T, live map[string]gates.Host, zones []string) {
	i := rapid.IntRange(0, 14).Draw(t, "host")
	name := fmt.Sprint("h", i)
	if _, found := live[name]; found && rapid.Bool().Draw(t, "leaves") {
		delete(live, name)
		return
	}
	live[name] = gates.Host{Name: name, Zone: zones[i%len(zones)], Address: fmt.Sprint("addr", i, rapid.IntRange(0, 1).Draw(t, "address"))}
}

// TestFleetTellsWhatHasChanged: a fleet knows its predecessor only.
func TestFleetTellsWhatHasChanged(t *testing.T) {
	hosts := fleet("a1", "a2", "b1")
	first := gates.NewFleet(nil, regions).Next(hosts)
	require.Equal(t, first.Generation(), first.Next(hosts).Generation(), "the same hosts are the same fleet")

	moved := hosts[2]
	moved.Address = "elsewhere"
	second := first.Next([]gates.Host{hosts[0], moved})
	change, known := second.Since(first.Generation())
	require.True(t, known)
	require.Equal(t, []gates.Host{moved}, change.Joined)
	require.ElementsMatch(t, []gates.Host{hosts[1], hosts[2]}, change.Left)

	_, known = second.Next(hosts).Since(first.Generation())
	require.False(t, known)
	_, known = gates.NewFleet(hosts, regions).Since(0)
	require.False(t, known, "fleets without a history have nothing in common")
}

// TestKeptShareFollowsTheConnections: an operator changes how many connections a
// member takes; what may run at once stays, but what is kept for teams does not.
func TestKeptShareFollowsTheConnections(t *testing.T) {
	f := gates.NewFleet(nil, regions).Next(fleet("a1", "a1"))
	m := gates.Member{ID: "m", Zone: "a1", Slots: 1}
	for _, host := range []string{"h0", "h1"} {
		shares := gates.NewShares(host)
		for _, connections := range []int{15, 60, 15} {
			plan := gates.NewPlan(f, connections)
			require.Equal(t, plan.For(m, host), shares.For(plan, m), "%s, %d connections", host, connections)
		}
	}
}
