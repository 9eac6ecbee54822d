package correlate_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/correlate"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
)

// TestErrorOutsideTheTransactionEndsTheConnection guards against a begin that a member refuses
// after a copy of the answer to an earlier one was taken for the answer to it. The refusal then
// arrives as that of the next statement, whose own answer stays on the connection for the next
// user.
func TestErrorOutsideTheTransactionEndsTheConnection(t *testing.T) {
	opened := statement.Answer{State: statement.InTransaction}
	for name, c := range map[string]struct {
		next statement.Operation
		code statement.Code
	}{
		"read":     {read, statement.ReadOnlyMember},
		"write":    {write, statement.Busy},
		"lagging":  {read, statement.Behind},
		"commit":   {commit, statement.Busy},
		"rollback": {operation(statement.RollbackTransaction, 0), statement.Busy},
		"set":      {set, statement.Busy},
	} {
		t.Run(name, func(t *testing.T) {
			var tracker correlate.Tracker
			require.Equal(t, correlate.Verdict{}, tracker.Attribute(begin, opened))
			require.Equal(t, correlate.Verdict{}, tracker.Attribute(commit, signed("a")))
			require.Equal(t, correlate.Verdict{}, tracker.Attribute(begin, opened), "a copy")
			refusal := statement.ErrorAnswer(c.code, "", statement.Idle)
			require.Equal(t, correlate.Ambiguous, tracker.Attribute(c.next, refusal).Attribution)
		})
	}
}

// TestRefusedCommitIsAnswered guards against a commit whose refusal is given up although the
// transaction is known to have been opened: by its own answer, or by a statement in it.
func TestRefusedCommitIsAnswered(t *testing.T) {
	opened := statement.Answer{State: statement.InTransaction}
	inTx := func(signature string) statement.Answer {
		return statement.Answer{Signature: signature, State: statement.InTransaction}
	}
	var tracker correlate.Tracker
	for _, step := range []struct {
		op statement.Operation
		a  statement.Answer
	}{{begin, opened}, {write, inTx("a")}, {commit, signed("b")}, {begin, opened}, {write, inTx("c")}, {commit, busy()}} {
		require.Equal(t, correlate.Verdict{}, tracker.Attribute(step.op, step.a))
	}
	tracker = correlate.Tracker{}
	require.Equal(t, correlate.Verdict{}, tracker.Attribute(begin, opened))
	require.Equal(t, correlate.Verdict{}, tracker.Attribute(commit, busy()))
}

// TestBeginIsNotAnsweredBeforeItsPosition guards against a begin on a replica that lags, refused
// after a copy of the answer to an earlier one: the reads that followed ran outside a transaction,
// on a log without the position.
func TestBeginIsNotAnsweredBeforeItsPosition(t *testing.T) {
	at := func(offset uint64) logpos.Position {
		return logpos.Position{Term: 1, Offset: logpos.Offset(offset)}
	}
	beginAfter := func(offset uint64) statement.Operation {
		return statement.Operation{Verb: statement.StartTransaction, ReadOnly: true, MinPosition: at(offset)}
	}
	opened := statement.Answer{State: statement.InTransaction, Position: at(5)}
	var tracker correlate.Tracker
	require.Equal(t, correlate.Verdict{}, tracker.Attribute(beginAfter(5), opened))
	require.Equal(t, correlate.Verdict{}, tracker.Attribute(commit, signed("a")))
	copied := tracker.Attribute(beginAfter(6), opened)
	require.Equal(t, correlate.Verdict{Attribution: correlate.Earlier, Reason: correlate.RepeatedAcknowledgement}, copied)
	lagging := statement.ErrorAnswer(statement.Behind, "", statement.Idle)
	require.Equal(t, correlate.Verdict{}, tracker.Attribute(beginAfter(6), lagging))
}
