package gates_test

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
)

// TestCachedSharesMatchThePlan applies random joins, leaves and address changes: the
// cached shares must equal those of a new plan, also if a fleet is skipped.
func TestCachedSharesMatchThePlan(t *testing.T) {
	zones := []string{"a1", "a2", "b1"}
	rapid.Check(t, func(t *rapid.T) {
		live := map[string]gates.Host{}
		fleet := gates.NewFleet(nil, regions)
		shares := gates.NewShareCache("h0")
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			for range rapid.IntRange(0, 12).Draw(t, "changes") {
				joinOrLeave(t, live, zones)
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
					t.Fatalf("member %v of hosts %v: got %+v, want %+v", m, hosts, got, want)
				}
			}
		}
	})
}

// joinOrLeave has a random host join, leave or change its address.
func joinOrLeave(t *rapid.T, live map[string]gates.Host, zones []string) {
	i := rapid.IntRange(0, 39).Draw(t, "host")
	name := fmt.Sprint("h", i)
	if _, found := live[name]; found && rapid.Bool().Draw(t, "leaves") {
		delete(live, name)
		return
	}
	live[name] = gates.Host{
		Name: name, Zone: zones[i%len(zones)], Address: fmt.Sprint("addr", i, rapid.IntRange(0, 1).Draw(t, "address")),
		MilliCores: rapid.SampledFrom([]int{0, 200, 1600}).Draw(t, "processor time"),
	}
}

// TestFleetReportsChangesSinceItsPredecessor checks that a change is known only
// relative to the direct predecessor.
func TestFleetReportsChangesSinceItsPredecessor(t *testing.T) {
	hosts := fleet("a1", "a2", "b1")
	first := gates.NewFleet(nil, regions).Next(hosts)
	require.Equal(t, first.Generation(), first.Next(hosts).Generation(), "the same hosts keep the generation")

	moved := hosts[2]
	moved.Address = "elsewhere"
	second := first.Next([]gates.Host{hosts[0], moved})
	change, known := second.ChangeSince(first.Generation())
	require.True(t, known)
	require.Equal(t, []gates.Host{moved}, change.Joined)
	require.ElementsMatch(t, []gates.Host{hosts[1], hosts[2]}, change.Left)

	_, known = second.Next(hosts).ChangeSince(first.Generation())
	require.False(t, known)
	_, known = gates.NewFleet(hosts, regions).ChangeSince(0)
	require.False(t, known, "a fleet without a predecessor knows no change")
}

// TestCachedShareFollowsTheConnectionLimit checks that a changed number of connections
// invalidates the cached share even if the number of gates stays the same.
func TestCachedShareFollowsTheConnectionLimit(t *testing.T) {
	f := gates.NewFleet(nil, regions).Next(fleet("a1", "a1"))
	m := gates.Member{ID: "m", Zone: "a1", Slots: 1}
	for _, host := range []string{"h0", "h1"} {
		shares := gates.NewShareCache(host)
		for _, connections := range []int{15, 60, 15} {
			plan := gates.NewPlan(f, connections)
			require.Equal(t, plan.For(m, host), shares.For(plan, m), "%s, %d connections", host, connections)
		}
	}
}
