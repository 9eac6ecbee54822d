package replicaset

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// vouchedPrimary returns a set whose primary m has been verified.
func vouchedPrimary(t *testing.T) (*Set, *Member) {
	t.Helper()
	s := setBehindGates(&overloadedRemote{})
	m, known := s.Member("m")
	require.True(t, known)
	s.ObserveLogMark(succession.LogMark{Member: "m", Term: 1, Position: logpos.Position{Term: 1, Offset: 20}})
	require.True(t, s.logUsable(m))
	return s, m
}

// openConn adds an open connection to a member.
func openConn(m *Member, id int, openedAt, answeredAt time.Duration) *Conn {
	c := &Conn{id: connpool.ConnID(id), member: m, openedAt: openedAt, answeredAt: answeredAt}
	m.conns[c.id] = c
	return c
}

// TestLostAnswerIsNoRestart guards against logs that are compared again after each
// connection that breaks, which delays statements for the primary.
func TestLostAnswerIsNoRestart(t *testing.T) {
	s, m := vouchedPrimary(t)
	openConn(m, 1, 1*time.Second, 2*time.Second)
	openConn(m, 2, 1*time.Second, 9*time.Second).closedByMember()
	require.True(t, s.logUsable(m), "the other connection shows that the member runs on")
}

// TestPrimaryThatClosedAllConnectionsIsVerifiedAgain guards against a primary that comes
// back without its log and is believed on the strength of an old mark.
func TestPrimaryThatClosedAllConnectionsIsVerifiedAgain(t *testing.T) {
	s, m := vouchedPrimary(t)
	c := openConn(m, 1, 1*time.Second, 2*time.Second)
	openConn(m, 2, 3*time.Second, 4*time.Second)
	c.closedByMember()
	require.False(t, s.logUsable(m), "the other connection is newer than the last answer on this one")
	require.True(t, s.LogMark().Restarted)
}

// TestStatusFromBeforeTheMarkIsNoLoss guards against a healthy primary taken for one that
// has lost its log, because a write was acknowledged after it had answered.
func TestStatusFromBeforeTheMarkIsNoLoss(t *testing.T) {
	s, m := vouchedPrimary(t)
	sent := clock.Now()
	s.ObserveLogMark(succession.LogMark{Member: "m", Term: 1, Position: logpos.Position{Term: 1, Offset: 21}})
	st := statement.Status{Primary: true, Term: 1, Received: logpos.Position{Term: 1, Offset: 20}}
	require.True(t, s.logVerified(m, controlAnswer{status: st, sentAt: sent}))
	require.False(t, s.LogLost("m"))
	require.True(t, s.logVerified(m, controlAnswer{status: st, sentAt: clock.Now()}))
	require.True(t, s.LogLost("m"))
}
