package duty_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/duty"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
)

const connections = 22

func hostNamed(i int) gates.Host {
	return gates.Host{Name: fmt.Sprint("host-", i), Zone: fmt.Sprint("zone-", i%3), Address: fmt.Sprint("address-", i)}
}

func groupMembers(service string) []gates.Member {
	var out []gates.Member
	for i := range 3 {
		out = append(out, gates.Member{ID: fmt.Sprintf("%s-%d", service, i), Zone: fmt.Sprint("zone-", i), Slots: 2})
	}
	return out
}

// TestResponsibleForFewGroupsInALargeFleet guards against hosts that keep state for every
// group of the fleet.
func TestResponsibleForFewGroupsInALargeFleet(t *testing.T) {
	var hosts []gates.Host
	for i := range 1000 {
		hosts = append(hosts, hostNamed(i))
	}
	fleet := gates.NewFleet(nil, nil).Next(hosts)
	mostOfAHost := 0
	for _, h := range hosts[:20] {
		duties, responsible := duty.New(h.Name), 0
		for i := range 1000 {
			service := fmt.Sprint("service-", i)
			if duties.Update(service, groupMembers(service), connections, fleet) {
				responsible++
			}
		}
		mostOfAHost = max(mostOfAHost, responsible)
	}
	// Nine voters and nine gates of a group are 18 duties a host in the mean.
	require.Less(t, mostOfAHost, 40)
}

// TestEveryGroupHasItsVotersAndGates compares the duties that are updated while the fleet
// changes with the voters and gates that are chosen from the fleet as a whole.
func TestEveryGroupHasItsVotersAndGates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duties := make([]*duty.Duties, 30)
		for i := range duties {
			duties[i] = duty.New(hostNamed(i).Name)
		}
		fleet := gates.NewFleet(nil, nil)
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			up := rapid.SliceOfNDistinct(rapid.IntRange(0, 29), 1, 30, rapid.ID).Draw(t, "up")
			var hosts []gates.Host
			for _, i := range up {
				hosts = append(hosts, hostNamed(i))
			}
			fleet = fleet.Next(hosts)
			members := groupMembers("service")
			voters := succession.Voters("service", fleet.Names())
			for i, d := range duties {
				host, isGate := hostNamed(i).Name, false
				for _, m := range members {
					share := gates.NewPlan(fleet, connections).For(m, host)
					isGate = isGate || slices.ContainsFunc(share.GateHosts, func(h gates.Host) bool { return h.Name == host })
				}
				want := isGate || slices.Contains(voters, host)
				if got := d.Update("service", members, connections, fleet); got != want || d.Responsible("service") != want {
					t.Fatalf("%s is responsible: %t, want %t", host, got, want)
				}
			}
		}
	})
}

func TestDutiesOfRemovedGroupsAreForgotten(t *testing.T) {
	duties := duty.New("host-0")
	duties.Update("service", groupMembers("service"), connections, gates.NewFleet(nil, nil).Next([]gates.Host{hostNamed(0)}))
	require.True(t, duties.Responsible("service"))
	duties.Retain(func(string) bool { return false })
	require.False(t, duties.Responsible("service"))
}
