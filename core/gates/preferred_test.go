package gates_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
)

// mixedFleet returns a fleet of one zone with large and small hosts.
func mixedFleet(large, small int) gates.Fleet {
	var hosts []gates.Host
	for i := range large + small {
		h := gates.Host{Name: fmt.Sprint("small-", i), Zone: "z", Address: fmt.Sprint("address-", i), MilliCores: 192}
		if i < large {
			h.Name, h.MilliCores = fmt.Sprint("large-", i), 1600
		}
		hosts = append(hosts, h)
	}
	return gates.NewFleet(nil, nil).Next(hosts)
}

// gateNames returns the names of all gates of 100 members.
func gateNames(f gates.Fleet) map[string]bool {
	names := map[string]bool{}
	for i := range 100 {
		share := gates.NewPlan(f, 184).For(gates.Member{ID: fmt.Sprint("member-", i), Zone: "z", Slots: 2}, "")
		for _, h := range share.GateHosts {
			names[h.Name] = true
		}
	}
	return names
}

// TestGatesOfALargeFleetAreFew guards against hosts that need a connection to nearly every
// other host, because any of them may be a gate.
func TestGatesOfALargeFleetAreFew(t *testing.T) {
	for _, small := range []int{150, 300} {
		names := gateNames(mixedFleet(10, small))
		require.Len(t, names, 10)
		require.Contains(t, names, "large-0")
	}
}

// TestGatesMoveToSmallHostsIfLargeOnesAreLost: a fleet that has lost its large hosts goes
// on with the others, and one with too few of them uses all.
func TestGatesMoveToSmallHostsIfLargeOnesAreLost(t *testing.T) {
	require.Len(t, gateNames(mixedFleet(0, 20)), 20)
	require.Greater(t, len(gateNames(mixedFleet(3, 100))), 50, "too few")
	require.Greater(t, len(gateNames(mixedFleet(7, 1000))), 50, "too small a share")
}
