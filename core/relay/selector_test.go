package relay_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/relay"
)

func fleetOf(zones, each int) []gates.Host {
	var fleet []gates.Host
	for z := range zones {
		for n := range each {
			fleet = append(fleet, gates.Host{Name: fmt.Sprintf("h%d-%d", z, n), Zone: fmt.Sprintf("z%d", z)})
		}
	}
	return fleet
}

// watchers returns the hosts that watch the store themselves.
func watchers(fleet []gates.Host) []gates.Host {
	var out []gates.Host
	for _, h := range fleet {
		if _, follows := relay.New(h).Pick(fleet, 0); !follows {
			out = append(out, h)
		}
	}
	return out
}

// TestWatchesDoNotGrowWithTheFleet: one host of each zone watches, however many
// there are.
func TestWatchesDoNotGrowWithTheFleet(t *testing.T) {
	for _, each := range []int{5, 10, 100} {
		w := watchers(fleetOf(6, each))
		require.Len(t, w, 6)
		zones := map[string]bool{}
		for _, h := range w {
			zones[h.Zone] = true
		}
		require.Len(t, zones, 6)
	}
}

func TestSmallFleetWatchesItself(t *testing.T) {
	require.Len(t, watchers(fleetOf(3, 3)), 9)
}

// TestLostRelayIsPassedOverForAWhile replays a relay that the store turns away:
// all of its zone follow one other host, which alone watches the store itself;
// the others do so only once that one has failed as well.
func TestLostRelayIsPassedOverForAWhile(t *testing.T) {
	fleet := fleetOf(2, 20)
	next := map[string]bool{}
	direct := 0
	for _, h := range fleet[:20] {
		r := relay.New(h)
		first, follows := r.Pick(fleet, 0)
		if !follows {
			continue
		}
		require.Equal(t, h.Zone, first.Zone)
		r.Failed(first.Name, false, 0)
		second, follows := r.Pick(fleet, relay.AvoidSilent-1)
		if !follows {
			direct++
		} else {
			next[second.Name] = true
			require.Equal(t, h.Zone, second.Zone)
			require.NotEqual(t, first, second)
			r.Failed(second.Name, false, 0)
			_, follows = r.Pick(fleet, relay.AvoidSilent-1)
			require.False(t, follows)
		}
		again, _ := r.Pick(fleet, relay.AvoidSilent)
		require.Equal(t, first, again)
		without := slices.DeleteFunc(slices.Clone(fleet), func(x gates.Host) bool { return x.Name == first.Name })
		if successor, follows := r.Pick(without, relay.AvoidSilent); follows {
			next[successor.Name] = true
		}
	}
	require.Len(t, next, 1, "the next in turn succeeds the first")
	require.Equal(t, 1, direct)
}

// TestRelayThatSaysSoIsTriedAgainSoon: one that has refused is alive, and relays
// again when it reaches the store.
func TestRelayThatSaysSoIsTriedAgainSoon(t *testing.T) {
	fleet := fleetOf(1, 20)
	for _, h := range fleet {
		r := relay.New(h)
		first, follows := r.Pick(fleet, 0)
		if !follows {
			require.True(t, r.Serves(fleet))
			continue
		}
		r.Failed(first.Name, true, 0)
		next, _ := r.Pick(fleet, relay.AvoidRefusing-1)
		require.NotEqual(t, first, next)
		again, _ := r.Pick(fleet, relay.AvoidRefusing)
		require.Equal(t, first, again)
	}
}

// TestFewHostsRelay: of a large fleet only those in turn; of a small one all.
func TestFewHostsRelay(t *testing.T) {
	count := func(fleet []gates.Host) int {
		n := 0
		for _, h := range fleet {
			if relay.New(h).Serves(fleet) {
				n++
			}
		}
		return n
	}
	require.Equal(t, 12, count(fleetOf(6, 50)))
	require.Equal(t, 9, count(fleetOf(3, 3)))
}
