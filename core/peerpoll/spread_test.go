package peerpoll

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/storelink"
)

// pollWay is a way to look for a new configuration among the hosts of a fleet.
type pollWay struct {
	name string
	// next returns the hosts that a host asks in a round.
	next func(self int, fleet []gates.Host) []gates.Host
	// fromAny is set if hosts that do not reach the store pass the configuration on.
	fromAny bool
	// slow is set if the way takes too long to play on fleets above maxComparedHosts.
	slow bool
}

const maxComparedHosts = 300

// waysFor returns the ways for a fleet, the one in use last.
func waysFor(fleet []gates.Host, rng *rand.Rand) []pollWay {
	random := func(int, []gates.Host) []gates.Host { n := rng.IntN(len(fleet)); return fleet[n : n+1] }
	sweeping := func(fanOut int) func(int, []gates.Host) []gates.Host {
		sweeps, pending := make([]*Sweep, len(fleet)), make([][]gates.Host, len(fleet))
		return func(self int, fleet []gates.Host) []gates.Host {
			if sweeps[self] == nil {
				// Hosts have asked some others already.
				sweeps[self] = &Sweep{self: fleet[self].Name, last: rng.Uint64()}
			}
			if len(pending[self]) == 0 {
				pending[self] = sweeps[self].Next(fleet)
			}
			now := pending[self][:min(fanOut, len(pending[self]))]
			pending[self] = pending[self][len(now):]
			return now
		}
	}
	return []pollWay{
		{"one at random, from hosts that reach the store", random, false, false},
		{"one at random, from any host", random, true, false},
		{"a sweep of four, from hosts that reach the store", sweeping(FanOut), false, true},
		{"a sweep of one, from any host", sweeping(1), true, true},
		{"a sweep of four, from any host", sweeping(FanOut), true, false},
	}
}

// maxRounds ends a play.
const maxRounds = 24

// roundsUntilAllKnow returns the rounds until all hosts have a configuration that the
// first `reach` hosts have from the store, at most maxRounds.
func roundsUntilAllKnow(fleet []gates.Host, reach int, way pollWay) int {
	index := map[string]int{}
	for n, h := range fleet {
		index[h.Name] = n
	}
	knows := make([]bool, len(fleet))
	for n := range reach {
		knows[n] = true
	}
	for round := 1; round < maxRounds; round++ {
		before, missing := append([]bool(nil), knows...), 0
		for n := range fleet {
			if before[n] {
				continue
			}
			for _, h := range way.next(n, fleet) {
				if source := index[h.Name]; before[source] && (way.fromAny || source < reach) {
					knows[n] = true
				}
			}
			if !knows[n] {
				missing++
			}
		}
		if missing == 0 {
			return round
		}
	}
	return maxRounds
}

// TestChangeReachesAllHostsInTimeIfOneReachesTheStore replays a change that one host, or a
// third of them, has from the store, in fleets of all sizes. It guards against a search
// that nothing bounds, and logs the ways that were compared (with -v).
func TestChangeReachesAllHostsInTimeIfOneReachesTheStore(t *testing.T) {
	const plays = 3
	for _, c := range []struct {
		hosts int
		// bound is the time within which a configuration has to be in force in fleets of
		// this size.
		bound time.Duration
	}{{9, 3 * time.Second}, {60, 6 * time.Second}, {300, 8 * time.Second}, {985, 8 * time.Second}} {
		fleet := fleetOf(c.hosts)
		for _, reach := range []int{1, c.hosts / 3} {
			rng := rand.New(rand.NewPCG(uint64(c.hosts), uint64(reach)))
			worst, sum := map[string]int{}, map[string]int{}
			for range plays {
				for _, way := range waysFor(fleet, rng) {
					if way.slow && c.hosts > maxComparedHosts {
						continue
					}
					rounds := roundsUntilAllKnow(fleet, reach, way)
					worst[way.name], sum[way.name] = max(worst[way.name], rounds), sum[way.name]+rounds
				}
			}
			ways := waysFor(fleet, rng)
			for _, way := range ways {
				if worst[way.name] == 0 {
					continue
				}
				t.Logf("%4d hosts, %3d reach the store, %-50s mean %7.1f s, longest %7.1f s", c.hosts, reach, way.name+":",
					float64(sum[way.name])/plays*storelink.PollInterval.Seconds(), float64(worst[way.name])*storelink.PollInterval.Seconds())
			}
			kept := ways[len(ways)-1].name
			require.LessOrEqual(t, storelink.PollDelay+time.Duration(worst[kept])*storelink.PollInterval, c.bound, fmt.Sprint(c.hosts, " hosts"))
		}
	}
}
