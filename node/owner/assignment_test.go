package owner

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/core/membership"
)

// largeFleet returns a configuration with three members for each service, spread
// over the zones, and the hosts.
func largeFleet(services, hosts, zones int) (*conf.Config, *membership.Placement, []membership.Host) {
	zone := func(i int) string { return fmt.Sprintf("zone-%02d", i%zones) }
	cfg := &conf.Config{}
	for i := range services {
		s := conf.Service{Name: fmt.Sprintf("service-%05d", i)}
		for j := range 3 {
			s.Upstreams = append(s.Upstreams, conf.Upstream{Name: fmt.Sprintf("%s-%d", s.Name, j), Zone: zone(i + j)})
		}
		cfg.Services = append(cfg.Services, s)
	}
	var list []membership.Host
	for i := range hosts {
		list = append(list, membership.Host{ID: fmt.Sprintf("host-%05d", i), Zone: zone(i)})
	}
	return cfg, membership.NewPlacement(list), list
}

// Guards against members that no host or several hosts own, in particular those
// of a zone without hosts.
func TestEveryUpstreamHasOneOwner(t *testing.T) {
	cfg, _, hosts := largeFleet(200, 24, 6)
	var remaining []membership.Host
	for _, h := range hosts {
		if h.Zone != "zone-03" {
			remaining = append(remaining, h)
		}
	}
	placement := membership.NewPlacement(remaining)
	owned := map[string]int{}
	for _, h := range remaining {
		for _, a := range assignments(cfg, placement, h) {
			owned[a.upstream.Name]++
		}
	}
	require.Len(t, owned, 600)
	for name, n := range owned {
		require.Equal(t, 1, n, name)
	}
}

// BenchmarkAssignments measures the hashing of one reconciliation.
func BenchmarkAssignments(b *testing.B) {
	for _, size := range []struct{ services, hosts int }{{1000, 185}, {9000, 1667}, {27000, 5000}} {
		b.Run(fmt.Sprintf("%d-services-%d-hosts", size.services, size.hosts), func(b *testing.B) {
			cfg, placement, hosts := largeFleet(size.services, size.hosts, 31)
			for b.Loop() {
				_ = assignments(cfg, placement, hosts[0])
			}
		})
	}
}
