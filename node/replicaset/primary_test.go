package replicaset

import (
	"bufio"
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

// statementsFail is the protocol of a primary that opens transactions and fails the
// statements in them.
type statementsFail struct {
	Protocol
	position logpos.Position
	opened   *bool
}

func (p statementsFail) Encode(op statement.Operation) ([]byte, error) {
	*p.opened = op.Verb == statement.StartTransaction
	return []byte("x"), nil
}

func (statementsFail) EncodeTerminate() []byte { return []byte("x") }

func (p statementsFail) ReadAnswer(*bufio.Reader) (statement.Answer, error) {
	if *p.opened {
		return statement.Answer{Code: statement.OK, State: statement.InTransaction, Position: p.position}, nil
	}
	return statement.Answer{Code: statement.Failure, State: statement.TransactionFailed, Position: p.position}, nil
}

// TestFailingPrimaryBoundsReads guards against reads that all go to a primary which fails
// them: without a floor from its answers no replica may serve them.
func TestFailingPrimaryBoundsReads(t *testing.T) {
	s := groupOfThree(Config{Host: "h1"})
	c, _ := idleConn(t)
	c.member, _ = s.Member("p")
	position := logpos.Position{Term: 1, Offset: 9}
	c.proto = statementsFail{position: position, opened: new(bool)}
	req := boundedRead(time.Second)
	req.Route.MaxStaleness = time.Second
	res := s.readOnPrimary(t.Context(), c, req)
	require.Equal(t, statement.Failure, res.Answer.Code)
	floor, found := s.Floor()
	require.True(t, found)
	require.Equal(t, position, floor.Position)
}

// TestUnreachableClaimantGivesWayToReachablePrimary guards against a primary that is given up
// for an entry of a member that nobody reaches, and against a promotion that is given up for
// the former primary which nobody reaches.
func TestUnreachableClaimantGivesWayToReachablePrimary(t *testing.T) {
	for _, primaryReachable := range []bool{true, false} {
		s := groupOfThree(Config{Host: "h1"})
		p, _ := s.Member("p")
		claimant, _ := s.Member("r1")
		s.primaryTracker.ObserveClaim("r1", 9)
		if !primaryReachable {
			p.wrongMemberUntil = clock.Now() + time.Hour
		}
		claimant.exchangeFailed(clock.Now(), failureRefused)
		id, _ := s.AssumedPrimary()
		require.Equal(t, map[bool]string{true: "p", false: "r1"}[primaryReachable], id)
	}
}
