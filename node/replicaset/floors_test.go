package replicaset

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// TestFloorCountsFromTheArrival replays a read that has waited for 300 ms: the
// floor that served it when it came serves it still.
func TestFloorCountsFromTheArrival(t *testing.T) {
	s := distantSet(&fullRemote{})
	now := clock.Now()
	old, young := logpos.Position{Term: 2, Offset: 10}, logpos.Position{Term: 2, Offset: 20}
	s.LearnFloor(Floor{Position: old, Sent: now - 1600*time.Millisecond, Primary: "m"})
	s.LearnFloor(Floor{Position: young, Sent: now - 200*time.Millisecond, Primary: "m"})
	w := boundedRead(time.Second)
	w.Route.MaxStaleness = 1500 * time.Millisecond
	w.Received = now - 300*time.Millisecond
	floor, found := s.floor(w)
	require.True(t, found)
	require.Equal(t, old, floor)
	w.Received = now
	floor, found = s.floor(w)
	require.True(t, found)
	require.Equal(t, young, floor)
}

// TestLowerFloorOfTwoHostsServes: the sender of a job and the host that runs it
// know different positions; each covers what the read must show.
func TestLowerFloorOfTwoHostsServes(t *testing.T) {
	s := distantSet(&fullRemote{})
	now := clock.Now()
	w := boundedRead(time.Second)
	w.Received, w.Route.MaxStaleness = now, time.Second
	// Nothing that the host knows so far is as new as the read needs.
	w.Received += time.Minute
	known := logpos.Position{Term: 2, Offset: 10}
	for _, sent := range []logpos.Position{{Term: 2, Offset: 4}, {Term: 2, Offset: 40}, {}} {
		floor, err := s.lowestFloor(Job{Work: w, Floor: sent})
		if sent.IsZero() {
			require.Error(t, err)
			continue
		}
		require.NoError(t, err)
		require.Equal(t, sent, floor)
	}
	s.LearnFloor(Floor{Position: known, Sent: w.Received, Primary: "m"})
	for _, sent := range []logpos.Position{{Term: 2, Offset: 4}, {Term: 2, Offset: 40}, {}} {
		floor, err := s.lowestFloor(Job{Work: w, Floor: sent})
		require.NoError(t, err)
		require.False(t, known.Less(floor))
	}
}
