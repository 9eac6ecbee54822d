package duty_test

import (
	"fmt"
	"testing"

	"github.com/dotterelswitch/dotterelswitch/core/duty"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
)

// BenchmarkUpdate measures the duties of one host among 985 for 1,000 groups: from the
// first fleet, and after one host has left and come back.
func BenchmarkUpdate(b *testing.B) {
	var hosts []gates.Host
	for i := range 985 {
		hosts = append(hosts, hostNamed(i))
	}
	members := map[string][]gates.Member{}
	for i := range 1000 {
		service := fmt.Sprint("service-", i)
		members[service] = groupMembers(service)
	}
	updateAll := func(d *duty.Duties, f gates.Fleet) {
		for service, m := range members {
			d.Update(service, m, connections, f)
		}
	}
	b.Run("first", func(b *testing.B) {
		fleet := gates.NewFleet(nil, nil).Next(hosts)
		for b.Loop() {
			updateAll(duty.New("host-0"), fleet)
		}
	})
	b.Run("restart", func(b *testing.B) {
		fleet := gates.NewFleet(nil, nil).Next(hosts)
		d := duty.New("host-0")
		updateAll(d, fleet)
		for b.Loop() {
			fleet = fleet.Next(hosts[:984])
			updateAll(d, fleet)
			fleet = fleet.Next(hosts)
			updateAll(d, fleet)
		}
	})
}
