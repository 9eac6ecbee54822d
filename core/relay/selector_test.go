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

// TestOneHostOfEachZoneWatches checks that one host of each zone watches
// the store, whatever the number of hosts.
func TestOneHostOfEachZoneWatches(t *testing.T) {
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

func TestEveryHostOfASmallFleetWatches(t *testing.T) {
	require.Len(t, watchers(fleetOf(3, 3)), 9)
}

// TestFailedRelayIsSkippedUntilRetry checks that after the failure of a relay all hosts
// of its zone follow the same second candidate, and watch the store themselves only if
// that one fails as well.
func TestFailedRelayIsSkippedUntilRetry(t *testing.T) {
	fleet := fleetOf(2, 20)
	successors := map[string]bool{}
	direct := 0
	for _, h := range fleet[:20] {
		s := relay.New(h)
		first, follows := s.Pick(fleet, 0)
		if !follows {
			continue
		}
		require.Equal(t, h.Zone, first.Zone)
		s.MarkFailed(first.Name, false, 0)
		second, follows := s.Pick(fleet, relay.RetryAfterTimeout-1)
		if !follows {
			direct++
		} else {
			successors[second.Name] = true
			require.Equal(t, h.Zone, second.Zone)
			require.NotEqual(t, first, second)
			s.MarkFailed(second.Name, false, 0)
			_, follows = s.Pick(fleet, relay.RetryAfterTimeout-1)
			require.False(t, follows)
		}
		again, _ := s.Pick(fleet, relay.RetryAfterTimeout)
		require.Equal(t, first, again)
		without := slices.DeleteFunc(slices.Clone(fleet), func(x gates.Host) bool { return x.Name == first.Name })
		if successor, follows := s.Pick(without, relay.RetryAfterTimeout); follows {
			successors[successor.Name] = true
		}
	}
	require.Len(t, successors, 1, "the second candidate succeeds the first")
	require.Equal(t, 1, direct)
}

// TestRelayThatRefusedIsRetriedSooner checks the shorter delay after a refusal: the
// relay is alive and relays again once it reaches the store.
func TestRelayThatRefusedIsRetriedSooner(t *testing.T) {
	fleet := fleetOf(1, 20)
	for _, h := range fleet {
		s := relay.New(h)
		first, follows := s.Pick(fleet, 0)
		if !follows {
			require.True(t, s.MayRelay(fleet))
			continue
		}
		s.MarkFailed(first.Name, true, 0)
		next, _ := s.Pick(fleet, relay.RetryAfterRefusal-1)
		require.NotEqual(t, first, next)
		again, _ := s.Pick(fleet, relay.RetryAfterRefusal)
		require.Equal(t, first, again)
	}
}

// TestOnlyCandidatesRelayInALargeFleet checks MayRelay in a large and in a small fleet.
func TestOnlyCandidatesRelayInALargeFleet(t *testing.T) {
	count := func(fleet []gates.Host) int {
		n := 0
		for _, h := range fleet {
			if relay.New(h).MayRelay(fleet) {
				n++
			}
		}
		return n
	}
	require.Equal(t, 12, count(fleetOf(6, 50)))
	require.Equal(t, 9, count(fleetOf(3, 3)))
}

// TestLargeZoneHasMoreCandidates guards against the followers of refused relays that all
// watch the store themselves.
func TestLargeZoneHasMoreCandidates(t *testing.T) {
	for zoneSize, want := range map[int]int{20: 2, 59: 2, 60: 3, 165: 4, 1000: 4} {
		var fleet []gates.Host
		for i := range zoneSize {
			fleet = append(fleet, gates.Host{Name: fmt.Sprint("host-", i), Zone: "z"})
		}
		mayRelay := 0
		for _, h := range fleet {
			if relay.New(h).MayRelay(fleet) {
				mayRelay++
			}
		}
		require.Equal(t, want, mayRelay, "%d hosts", zoneSize)
	}
}
