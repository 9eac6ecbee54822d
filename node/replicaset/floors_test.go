package replicaset

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// TestFloorCountsToTheMomentOfSending: a read that has waited is not served
// what would have been young enough when it came.
func TestFloorCountsToTheMomentOfSending(t *testing.T) {
	s := distantSet(&fullRemote{})
	now := clock.Now()
	old, young := logpos.Position{Term: 2, Offset: 10}, logpos.Position{Term: 2, Offset: 20}
	s.LearnFloor(Floor{Position: old, Sent: now - 1600*time.Millisecond, Lead: Lead{Primary: "m", Term: 2}})
	s.LearnFloor(Floor{Position: young, Sent: now - 200*time.Millisecond, Lead: Lead{Primary: "m", Term: 2}})
	w := boundedRead(time.Second)
	w.Route.MaxStaleness = 1500 * time.Millisecond
	w.Received = now - 300*time.Millisecond
	floor, found := s.floor(w, w.Received)
	require.True(t, found)
	require.Equal(t, old, floor)
	floor, found = s.floor(w, now)
	require.True(t, found)
	require.Equal(t, young, floor)
}
