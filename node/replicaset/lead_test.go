package replicaset

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// TestPromotedMemberBoundsReadsByAllThatItReceived: it has applied less so far, and
// what it has received was acknowledged before.
func TestPromotedMemberBoundsReadsByAllThatItReceived(t *testing.T) {
	s := distantSet(&fullRemote{})
	m, known := s.Member("m")
	require.True(t, known)
	applied, received := logpos.Position{Term: 1, Offset: 30}, logpos.Position{Term: 1, Offset: 38}
	now := clock.Now()
	s.saysToLead(m, statement.Status{Primary: true, Term: 2, Received: received}, applied, now)
	w := boundedRead(time.Second)
	w.Route.MaxStaleness = time.Second
	floor, found := s.floor(w, now)
	require.True(t, found)
	require.Equal(t, received, floor)
	id, _ := s.Believed()
	require.Equal(t, "m", id)
	require.Equal(t, logpos.Term(2), s.Term())
}
