package owner

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// Guards against running a request twice or refusing a new one, with IDs that
// arrive repeatedly and in any order.
func TestRecentRequestsAcceptEachIDOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRecentRequests()
		taken := map[uint64]bool{}
		high := uint64(0)
		for range rapid.IntRange(1, 300).Draw(t, "deliveries") {
			id := uint64(rapid.IntRange(1, 3*windowBits).Draw(t, "id"))
			inWindow := id > high || high-id < windowBits
			got := r.add("sender", id)
			if taken[id] {
				require.False(t, got, "request %d ran twice", id)
			} else if inWindow {
				require.True(t, got, "request %d was refused", id)
			}
			taken[id] = taken[id] || got
			high = max(high, id)
		}
		require.True(t, r.add("another sender", 1))
	})
}
