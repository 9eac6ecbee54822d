package startup_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/startup"
)

// The return of a fleet whose registrations have lapsed: figures of the day that
// found it. Hosts list the store over 180 ms, register 20 ms later, and hear of
// each other 100 ms after that.
const (
	fleetSize  = 295
	listedOver = 180 * time.Millisecond
	registerIn = 20 * time.Millisecond
	hearIn     = 100 * time.Millisecond
	tick       = 10 * time.Millisecond
)

func listedAt(i int) time.Duration {
	return time.Second + listedOver*time.Duration(i)/time.Duration(fleetSize)
}

// knownTo returns the hosts that a host knows at a time.
func knownTo(i int, now time.Duration) []gates.Host {
	var out []gates.Host
	for j := range fleetSize {
		if j == i || listedAt(j)+registerIn+hearIn <= now {
			out = append(out, gates.Host{Name: fmt.Sprint("host-", j), Zone: fmt.Sprint("zone-", j%6)})
		}
	}
	return out
}

// keepers counts the hosts that keep connections to a member when they begin to
// serve.
func keepers(begins func(i int) time.Duration) int {
	count := 0
	for i := range fleetSize {
		plan := gates.NewPlan(gates.NewFleet(knownTo(i, begins(i)), nil), 87)
		if share := plan.For(gates.Member{ID: "member", Zone: "zone-0", Slots: 2}, fmt.Sprint("host-", i)); len(share.Gates) == 0 {
			count++
		}
	}
	return count
}

// settlesAt returns when a host knows the fleet well enough.
func settlesAt(i int) time.Duration {
	var f startup.Fleet
	for now := listedAt(i); ; now += tick {
		f.Seen(len(knownTo(i, now)), false, now)
		if f.Settled(now) {
			return now
		}
	}
}

// TestHostsThatStartTogetherDoNotAllKeepConnections: a member with two slots has
// three hosts that keep its connections, not hundreds.
func TestHostsThatStartTogetherDoNotAllKeepConnections(t *testing.T) {
	require.Greater(t, keepers(listedAt), fleetSize/2, "the pattern: nearly every host finds itself alone")
	require.LessOrEqual(t, keepers(settlesAt), 6)
	for i := range fleetSize {
		require.LessOrEqual(t, settlesAt(i)-listedAt(i), 600*time.Millisecond)
	}
}

// TestRememberedHostServesAtOnce replays a loss of power that is shorter than the
// leases: the listing names the fleet.
func TestRememberedHostServesAtOnce(t *testing.T) {
	var f startup.Fleet
	require.False(t, f.Settled(time.Second), "nothing is known before the first listing")
	f.Seen(295, true, time.Second)
	require.True(t, f.Settled(time.Second))
}

// TestFleetThatGrowsOnIsNotAwaitedForEver: hosts may join all the time.
func TestFleetThatGrowsOnIsNotAwaitedForEver(t *testing.T) {
	var f startup.Fleet
	size := 1
	for now := time.Second; now < 1600*time.Millisecond; now += 50 * time.Millisecond {
		f.Seen(size, false, now)
		require.False(t, f.Settled(now))
		size = 2*size + 1
	}
	require.True(t, f.Settled(1600*time.Millisecond))
	f.Seen(1<<30, false, 1700*time.Millisecond)
	require.True(t, f.Settled(1700*time.Millisecond), "a host that serves goes on")
}
