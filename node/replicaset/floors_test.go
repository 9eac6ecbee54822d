package replicaset

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// TestFloorIsRelativeToSendTime guards against computing the floor from the
// time of arrival, which would let a read that waited exceed its staleness
// bound.
func TestFloorIsRelativeToSendTime(t *testing.T) {
	s := setBehindGates(&overloadedRemote{})
	now := clock.Now()
	older, newer := logpos.Position{Term: 2, Offset: 10}, logpos.Position{Term: 2, Offset: 20}
	s.ObserveFloor(Floor{Position: older, AsOf: now - 1600*time.Millisecond, Leadership: Leadership{Primary: "m", Term: 2}})
	s.ObserveFloor(Floor{Position: newer, AsOf: now - 200*time.Millisecond, Leadership: Leadership{Primary: "m", Term: 2}})
	req := boundedRead(time.Second)
	req.Route.MaxStaleness = 1500 * time.Millisecond
	req.Received = now - 300*time.Millisecond
	floor, found := s.floor(req, req.Received)
	require.True(t, found)
	require.Equal(t, older, floor)
	floor, found = s.floor(req, now)
	require.True(t, found)
	require.Equal(t, newer, floor)
}
