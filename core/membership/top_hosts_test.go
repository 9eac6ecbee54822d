package membership_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/membership"
)

// TestTopFollowsTheFleet: whatever joins and leaves, a top that is not stale
// holds the hosts that a sort of the whole fleet puts first.
func TestTopFollowsTheFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(0, 4).Draw(t, "size")
		live := map[string]bool{}
		top := membership.NewTop("key", size)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := fmt.Sprint("host-", rapid.IntRange(0, 11).Draw(t, "host"))
			if live[name] {
				delete(live, name)
				top.Leave(name)
			} else {
				live[name] = true
				top.Join(name, tierOf(name))
			}
			want := sortedTop("key", live, size)
			if top.Stale() {
				top = membership.NewTop("key", size)
				for other := range live {
					top.Join(other, tierOf(other))
				}
			}
			if !slices.Equal(want, top.Names()) {
				t.Fatalf("of %v the first %d are %v, not %v", live, size, want, top.Names())
			}
		}
	})
}

// tierOf puts a third of the hosts into each of three tiers.
func tierOf(name string) int { return int(name[len(name)-1]) % 3 }

func sortedTop(key string, live map[string]bool, size int) []string {
	var names []string
	for name := range live {
		names = append(names, name)
	}
	ranked := membership.RankBy(key, names, func(n string) string { return n })
	slices.SortStableFunc(ranked, func(a, b string) int { return tierOf(a) - tierOf(b) })
	return append([]string{}, ranked[:min(size, len(ranked))]...)
}

// TestOneWhoIsNotOfTheTopMovesNothing replays a restart somewhere in a large
// fleet: nearly always it concerns none of the few hosts of a key.
func TestOneWhoIsNotOfTheTopMovesNothing(t *testing.T) {
	top := membership.NewTop("key", 3)
	for i := range 300 {
		top.Join(fmt.Sprint("host-", i), 0)
	}
	before := top.Names()
	for i := range 300 {
		name := fmt.Sprint("host-", i)
		if slices.Contains(before, name) {
			continue
		}
		require.False(t, top.Leave(name))
		require.False(t, top.Join(name, 0))
	}
	require.Equal(t, before, top.Names())
	require.False(t, top.Stale())
}
