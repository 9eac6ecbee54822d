package succession_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
)

func newHosts(count int) []gates.Host {
	var out []gates.Host
	for i := range count {
		out = append(out, gates.Host{Name: fmt.Sprint("host-", i), Zone: "z"})
	}
	return out
}

// TestVoterSetFollowsRollingRestart restarts every host of a fleet in turn: the
// incrementally maintained voters must equal those of a full computation.
func TestVoterSetFollowsRollingRestart(t *testing.T) {
	hosts := newHosts(40)
	fleet := gates.NewFleet(nil, nil).Next(hosts)
	incremental := succession.NewVoterSet("svc")
	requireSameVoters := func() {
		voters := succession.Voters("svc", fleet.Names())
		for _, h := range hosts {
			require.Equal(t, slices.Contains(voters, h.Name), incremental.IsVoter(h.Name, fleet), h.Name)
		}
	}
	requireSameVoters()
	for i := range hosts {
		fleet = fleet.Next(slices.Delete(slices.Clone(hosts), i, i+1))
		requireSameVoters()
		fleet = fleet.Next(hosts)
		requireSameVoters()
	}
	fleet = gates.NewFleet(hosts[:3], nil)
	requireSameVoters()
}

// BenchmarkVoterSet removes a host and adds it back, and asks the voter set of
// every service after each change.
func BenchmarkVoterSet(b *testing.B) {
	for _, size := range []struct{ hosts, services int }{{30, 4}, {300, 20}, {5000, 1000}} {
		b.Run(fmt.Sprintf("%d hosts, %d services", size.hosts, size.services), func(b *testing.B) {
			hosts := newHosts(size.hosts)
			fleet := gates.NewFleet(nil, nil).Next(hosts)
			var sets []*succession.VoterSet
			for s := range size.services {
				sets = append(sets, succession.NewVoterSet(fmt.Sprint("svc-", s)))
			}
			queryAll := func(f gates.Fleet) {
				for _, set := range sets {
					set.IsVoter("host-0", f)
				}
			}
			queryAll(fleet)
			for b.Loop() {
				fleet = fleet.Next(hosts[:size.hosts-1])
				queryAll(fleet)
				fleet = fleet.Next(hosts)
				queryAll(fleet)
			}
		})
	}
}
