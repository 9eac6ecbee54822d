package startup_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/startup"
)

// Timing of a fleet restart with expired registrations: hosts list the store over 180
// ms, register 20 ms later, and learn of each other 100 ms after that.
const (
	fleetSize = 295
	// memberConnections is the number of connections that the member accepts.
	memberConnections = 87
	listingSpread     = 180 * time.Millisecond
	registrationDelay = 20 * time.Millisecond
	propagationDelay  = 100 * time.Millisecond
	tick              = 10 * time.Millisecond
)

func listedAt(i int) time.Duration {
	return time.Second + listingSpread*time.Duration(i)/time.Duration(fleetSize)
}

// knownTo returns the hosts that a host knows at a given time.
func knownTo(i int, now time.Duration) []gates.Host {
	var out []gates.Host
	for j := range fleetSize {
		if j == i || listedAt(j)+registrationDelay+propagationDelay <= now {
			out = append(out, gates.Host{Name: fmt.Sprint("host-", j), Zone: fmt.Sprint("zone-", j%6)})
		}
	}
	return out
}

// countGates counts the hosts that consider themselves gates of a member when they
// start serving.
func countGates(serveFrom func(i int) time.Duration) int {
	count := 0
	for i := range fleetSize {
		plan := gates.NewPlan(gates.NewFleet(knownTo(i, serveFrom(i)), nil), memberConnections)
		if share := plan.For(gates.Member{ID: "member", Zone: "zone-0", Slots: 2}, fmt.Sprint("host-", i)); len(share.GateAddresses) == 0 {
			count++
		}
	}
	return count
}

// stableAt returns when the fleet is stable for a host.
func stableAt(i int) time.Duration {
	var f startup.FleetStability
	for now := listedAt(i); ; now += tick {
		f.Observe(len(knownTo(i, now)), false, now)
		if f.Stable(now) {
			return now
		}
	}
}

// TestHostsStartedTogetherDoNotAllBecomeGates guards against hundreds of hosts pooling
// connections to a member with two slots.
func TestHostsStartedTogetherDoNotAllBecomeGates(t *testing.T) {
	require.Greater(t, countGates(listedAt), fleetSize/2, "without the wait most hosts become gates")
	require.LessOrEqual(t, countGates(stableAt), 6)
	for i := range fleetSize {
		require.LessOrEqual(t, stableAt(i)-listedAt(i), 600*time.Millisecond)
	}
}

// TestRegisteredHostServesImmediately covers a restart that is shorter than the leases:
// the first listing contains the fleet.
func TestRegisteredHostServesImmediately(t *testing.T) {
	var f startup.FleetStability
	require.False(t, f.Stable(time.Second), "no fleet is known before the first listing")
	f.Observe(295, true, time.Second)
	require.True(t, f.Stable(time.Second))
}

func TestWaitForAGrowingFleetIsBounded(t *testing.T) {
	var f startup.FleetStability
	size := 1
	for now := time.Second; now < 1600*time.Millisecond; now += 50 * time.Millisecond {
		f.Observe(size, false, now)
		require.False(t, f.Stable(now))
		size = 2*size + 1
	}
	require.True(t, f.Stable(1600*time.Millisecond))
	f.Observe(1<<30, false, 1700*time.Millisecond)
	require.True(t, f.Stable(1700*time.Millisecond), "a serving host keeps serving")
}
