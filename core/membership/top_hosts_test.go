package membership_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/membership"
)

// TestTopHostsMatchFullSort adds and removes random hosts: unless stale, the set must
// match a sort of the whole fleet.
func TestTopHostsMatchFullSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(0, 4).Draw(t, "size")
		live := map[string]bool{}
		top := membership.NewTopHosts("key", size)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := fmt.Sprint("host-", rapid.IntRange(0, 11).Draw(t, "host"))
			if live[name] {
				delete(live, name)
				top.Remove(name)
			} else {
				live[name] = true
				top.Add(name, tierOf(name))
			}
			want := sortedTop("key", live, size)
			if top.Stale() {
				top = membership.NewTopHosts("key", size)
				for other := range live {
					top.Add(other, tierOf(other))
				}
			}
			if !slices.Equal(want, top.Names()) {
				t.Fatalf("of hosts %v the top %d are %v, got %v", live, size, want, top.Names())
			}
		}
	})
}

// tierOf assigns a host to one of three tiers.
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

// TestHostOutsideTheTopChangesNothing checks that a restart of a host that is not among
// the top hosts of a key does not change them.
func TestHostOutsideTheTopChangesNothing(t *testing.T) {
	top := membership.NewTopHosts("key", 3)
	for i := range 300 {
		top.Add(fmt.Sprint("host-", i), 0)
	}
	before := top.Names()
	for i := range 300 {
		name := fmt.Sprint("host-", i)
		if slices.Contains(before, name) {
			continue
		}
		require.False(t, top.Remove(name))
		require.False(t, top.Add(name, 0))
	}
	require.Equal(t, before, top.Names())
	require.False(t, top.Stale())
}
