package gates_test

import (
	"fmt"
	"testing"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
)

// BenchmarkPlan computes one host's shares of the connections of all members of a
// deployment, as a host does at its start.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ hosts, services int }{{30, 4}, {300, 20}, {5000, 20}} {
		b.Run(fmt.Sprintf("%d hosts, %d services", size.hosts, size.services), func(b *testing.B) {
			hosts, zones := newTestFleet(size.hosts)
			for b.Loop() {
				plan := gates.NewPlan(gates.NewFleet(hosts, zones), benchConnections)
				for m := range membersPerService * size.services {
					plan.For(gates.Member{ID: fmt.Sprint("member-", m), Zone: fmt.Sprint("zone-", m%6), Slots: 2}, hosts[0].Name)
				}
			}
		})
	}
}

const (
	// benchConnections is the number of connections that each member accepts.
	benchConnections  = 87
	membersPerService = 3
)

// newTestFleet returns hosts spread over six zones in three regions, and the region of
// each zone.
func newTestFleet(count int) ([]gates.Host, map[string]string) {
	regionOf := map[string]string{}
	var hosts []gates.Host
	for i := range count {
		zone := fmt.Sprint("zone-", i%6)
		regionOf[zone] = fmt.Sprint("region-", i%3)
		hosts = append(hosts, gates.Host{Name: fmt.Sprint("host-", i), Zone: zone, Address: fmt.Sprintf("10.0.%d.%d:7440", i/256, i%256)})
	}
	return hosts, regionOf
}

// BenchmarkShares has one host leave and rejoin, and computes another host's shares of
// the connections of all members after each change.
func BenchmarkShares(b *testing.B) {
	for _, size := range []struct{ hosts, services int }{{30, 4}, {300, 20}, {5000, 1000}} {
		b.Run(fmt.Sprintf("%d hosts, %d services", size.hosts, size.services), func(b *testing.B) {
			hosts, zones := newTestFleet(size.hosts)
			// Only a fleet returned by Next has the generation that the cache needs.
			fleet := gates.NewFleet(nil, zones).Next(hosts)
			shares := gates.NewShareCache(hosts[0].Name)
			computeShares := func(f gates.Fleet) {
				plan := gates.NewPlan(f, benchConnections)
				for m := range membersPerService * size.services {
					shares.For(plan, gates.Member{ID: fmt.Sprint("member-", m), Zone: fmt.Sprint("zone-", m%6), Slots: 2})
				}
			}
			computeShares(fleet)
			for b.Loop() {
				fleet = fleet.Next(hosts[:len(hosts)-1])
				computeShares(fleet)
				fleet = fleet.Next(hosts)
				computeShares(fleet)
			}
		})
	}
}
