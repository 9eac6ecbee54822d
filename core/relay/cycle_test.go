package relay_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/fixedseed"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/relay"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// TestNoHostFollowsItself guards against cycles of relays: hosts see different subsets
// of the fleet, perhaps without themselves, and some have lost relays. Every chain of
// relays must end at a host that watches the store.
func TestNoHostFollowsItself(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := fleetOf(1, 40)
		follows := map[string]string{}
		for _, h := range fleet {
			var seen []gates.Host
			for _, other := range fleet {
				if rapid.Bool().Draw(t, "listed") {
					seen = append(seen, other)
				}
			}
			r := relay.New(h)
			for range rapid.IntRange(0, 2).Draw(t, "lost") {
				if first, found := r.Pick(seen, 0); found {
					r.MarkFailed(first.Name, false, 0)
				}
			}
			if next, found := r.Pick(seen, 0); found {
				follows[h.Name] = next.Name
			}
		}
		for _, h := range fleet {
			current := h.Name
			for steps := 0; follows[current] != ""; steps++ {
				require.Less(t, steps, len(fleet), "hosts follow each other in a cycle")
				current = follows[current]
			}
		}
	})
}
