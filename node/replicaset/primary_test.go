package replicaset

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// TestPromotedMemberFloorIsReceivedPosition guards against using the applied
// position of a promoted member as the floor: it may be behind acknowledged
// commits that the member has received.
func TestPromotedMemberFloorIsReceivedPosition(t *testing.T) {
	s := setBehindGates(&overloadedRemote{})
	m, known := s.Member("m")
	require.True(t, known)
	applied, received := logpos.Position{Term: 1, Offset: 30}, logpos.Position{Term: 1, Offset: 38}
	now := clock.Now()
	s.observePrimaryStatus(m, statement.Status{Primary: true, Term: 2, Received: received}, applied, now)
	req := boundedRead(time.Second)
	req.Route.MaxStaleness = time.Second
	floor, found := s.floor(req, now)
	require.True(t, found)
	require.Equal(t, received, floor)
	id, _ := s.AssumedPrimary()
	require.Equal(t, "m", id)
	require.Equal(t, logpos.Term(2), s.Term())
}
