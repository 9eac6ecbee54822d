package catchup_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/catchup"
	"github.com/dotterelswitch/dotterelswitch/core/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

const ms = time.Millisecond

func TestReplicaThatHoldsTheFloorIsReady(t *testing.T) {
	r := catchup.Replica{Seen: 5 * ms, Holds: true, Distance: time.Second}
	require.Equal(t, 5*ms, r.ReadyAt())
	require.False(t, r.Behind(5*ms))
}

// TestShortLogKeepsReadsAwayForATime: a replica may catch up faster than it
// fell behind, so a read is sent to look before the expected time.
func TestShortLogKeepsReadsAwayForATime(t *testing.T) {
	r := catchup.Replica{Seen: 0, Distance: 2 * time.Second}
	require.True(t, r.Behind(100*ms))
	require.False(t, r.Behind(150*ms))
	require.Equal(t, 2*time.Second, r.ReadyAt())
}

func TestNearlyReadyReplicaIsNotAskedAtOnce(t *testing.T) {
	r := catchup.Replica{Seen: 0, Distance: ms}
	require.True(t, r.Behind(20*ms))
	require.False(t, r.Behind(30*ms))
}

func TestSoonestIsChosenWithinTheTime(t *testing.T) {
	slow := catchup.Replica{ID: "slow", Distance: 3 * time.Second}
	soon := catchup.Replica{ID: "soon", Distance: time.Second}
	r, at, found := catchup.Soonest([]catchup.Replica{slow, soon}, 10*ms, 2*time.Second)
	require.True(t, found)
	require.Equal(t, "soon", r.ID)
	require.Equal(t, time.Second, at)
	_, _, found = catchup.Soonest([]catchup.Replica{slow}, 10*ms, 2*time.Second)
	require.False(t, found, "a read that no replica can serve in its time is not held")
	_, _, found = catchup.Soonest(nil, 0, time.Second)
	require.False(t, found)
}

// TestNothingIsHeldPastItsTime: whatever is known, a wait ends by the latest
// time and does not lie in the past.
func TestNothingIsHeldPastItsTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(rapid.IntRange(0, 5000).Draw(t, "now")) * ms
		latest := time.Duration(rapid.IntRange(0, 8000).Draw(t, "latest")) * ms
		var all []catchup.Replica
		for range rapid.IntRange(0, 3).Draw(t, "replicas") {
			all = append(all, catchup.Replica{
				Seen:     time.Duration(rapid.IntRange(0, 5000).Draw(t, "seen")) * ms,
				Distance: time.Duration(rapid.IntRange(-1000, 5000).Draw(t, "distance")) * ms,
				Holds:    rapid.Bool().Draw(t, "holds"),
			})
		}
		r, at, found := catchup.Soonest(all, now, latest)
		if !found {
			for _, r := range all {
				require.Greater(t, max(r.ReadyAt(), now), latest)
			}
			return
		}
		require.LessOrEqual(t, at, latest)
		require.GreaterOrEqual(t, at, now)
		for _, other := range all {
			require.LessOrEqual(t, at, max(other.ReadyAt(), now), "%v is not the soonest", r)
		}
	})
}
