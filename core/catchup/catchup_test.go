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

func TestReplicaAtFloorIsReady(t *testing.T) {
	r := catchup.Replica{ObservedAt: 5 * ms, CaughtUp: true, Lag: time.Second}
	require.Equal(t, 5*ms, r.ReadyAt())
	require.False(t, r.KnownBehind(5*ms))
}

// TestLaggingReplicaIsSkippedUntilObservationExpires: reads are sent to the
// replica again before its expected time, since it may have caught up sooner.
func TestLaggingReplicaIsSkippedUntilObservationExpires(t *testing.T) {
	r := catchup.Replica{ObservedAt: 0, Lag: 2 * time.Second}
	require.True(t, r.KnownBehind(100*ms))
	require.False(t, r.KnownBehind(150*ms))
	require.Equal(t, 2*time.Second, r.ReadyAt())
}

func TestNearlyReadyReplicaIsSkippedForMinimumDelay(t *testing.T) {
	r := catchup.Replica{ObservedAt: 0, Lag: ms}
	require.True(t, r.KnownBehind(20*ms))
	require.False(t, r.KnownBehind(30*ms))
}

func TestSoonestReadyReplicaBeforeDeadline(t *testing.T) {
	slow := catchup.Replica{ID: "slow", Lag: 3 * time.Second}
	soon := catchup.Replica{ID: "soon", Lag: time.Second}
	r, at, found := catchup.SoonestReady([]catchup.Replica{slow, soon}, 10*ms, 2*time.Second)
	require.True(t, found)
	require.Equal(t, "soon", r.ID)
	require.Equal(t, time.Second, at)
	_, _, found = catchup.SoonestReady([]catchup.Replica{slow}, 10*ms, 2*time.Second)
	require.False(t, found, "a read that no replica can serve by its deadline does not wait")
	_, _, found = catchup.SoonestReady(nil, 0, time.Second)
	require.False(t, found)
}

// TestWaitEndsByDeadline: a wait ends neither after the deadline nor in the
// past, and is the shortest of all replicas.
func TestWaitEndsByDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(rapid.IntRange(0, 5000).Draw(t, "now")) * ms
		deadline := time.Duration(rapid.IntRange(0, 8000).Draw(t, "deadline")) * ms
		var replicas []catchup.Replica
		for range rapid.IntRange(0, 3).Draw(t, "replicas") {
			replicas = append(replicas, catchup.Replica{
				ObservedAt: time.Duration(rapid.IntRange(0, 5000).Draw(t, "observed at")) * ms,
				Lag:        time.Duration(rapid.IntRange(-1000, 5000).Draw(t, "lag")) * ms,
				CaughtUp:   rapid.Bool().Draw(t, "caught up"),
			})
		}
		r, at, found := catchup.SoonestReady(replicas, now, deadline)
		if !found {
			for _, r := range replicas {
				require.Greater(t, max(r.ReadyAt(), now), deadline)
			}
			return
		}
		require.LessOrEqual(t, at, deadline)
		require.GreaterOrEqual(t, at, now)
		for _, other := range replicas {
			require.LessOrEqual(t, at, max(other.ReadyAt(), now), "%v is not the soonest to be ready", r)
		}
	})
}
