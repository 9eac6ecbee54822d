package peerpoll

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
)

func fleetOf(size int) []gates.Host {
	fleet := make([]gates.Host, size)
	for n := range fleet {
		fleet[n] = gates.Host{Name: fmt.Sprint("host-", n)}
	}
	return fleet
}

// TestNoHostIsAskedAgainBeforeAllOthers guards against a search that asks the same hosts
// again while one that knows better is left out.
func TestNoHostIsAskedAgainBeforeAllOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := fleetOf(rapid.IntRange(2, 70).Draw(t, "size"))
		others := len(fleet) - 1
		s := NewSweep(fmt.Sprint("host-", rapid.IntRange(0, others).Draw(t, "self")))
		lastAsked := map[string]int{}
		for n := range 3 * others {
			next := s.Next(fleet)
			require.Len(t, next, min(FanOut, others))
			for i, h := range next {
				require.NotEqual(t, s.self, h.Name)
				question := n*len(next) + i
				if last, asked := lastAsked[h.Name]; asked {
					require.Equal(t, others, question-last)
				}
				lastAsked[h.Name] = question
			}
		}
		require.Len(t, lastAsked, others)
	})
}

// TestSweepFollowsChangesOfTheFleet: hosts join and leave during an outage.
func TestSweepFollowsChangesOfTheFleet(t *testing.T) {
	s := NewSweep("host-0")
	require.Empty(t, s.Next(nil))
	require.Empty(t, s.Next(fleetOf(1)))
	require.Len(t, s.Next(fleetOf(3)), 2)
	require.Len(t, s.Next(fleetOf(9)), FanOut)
	require.Len(t, s.Next(fleetOf(2)), 1)
}
