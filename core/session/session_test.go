package session_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/session"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
)

func answerLocally(t *testing.T, s *session.Session, st statement.Statement) statement.Answer {
	t.Helper()
	a, ok := s.AnswerLocally(st)
	require.True(t, ok, "%s must be answered without an upstream", st.Kind)
	return a
}

func TestPreparedStatementsAreScopedToSession(t *testing.T) {
	a, b := session.New("db"), session.New("db")
	prepare := statement.Statement{Kind: statement.Prepare, Name: "s1", Shape: statement.Shape{Write: true, Text: "q"}}
	require.Equal(t, statement.OK, answerLocally(t, a, prepare).Code)
	execute := statement.Statement{Kind: statement.Execute, Name: "s1"}
	st, known := a.ResolvePrepared(execute)
	require.True(t, known)
	require.True(t, st.Writes())
	_, known = b.ResolvePrepared(execute)
	require.False(t, known)
	answerLocally(t, a, statement.Statement{Kind: statement.Deallocate, Name: "s1"})
	_, known = a.ResolvePrepared(execute)
	require.False(t, known)
}

func TestValuesKeyIdentifiesSet(t *testing.T) {
	require.Equal(t, session.ValuesKey(map[string]string{"a": "1", "b": "2"}), session.ValuesKey(map[string]string{"b": "2", "a": "1"}))
	require.NotEqual(t, session.ValuesKey(map[string]string{"a": "1b"}), session.ValuesKey(map[string]string{"a1": "b"}))
	require.Empty(t, session.ValuesKey(nil))
}

func TestBeginAndRollbackNeedNoUpstream(t *testing.T) {
	s := session.New("db")
	require.Equal(t, statement.InTransaction, answerLocally(t, s, statement.Statement{Kind: statement.Begin, ReadOnly: true}).State)
	require.True(t, s.ReadOnly)
	require.Equal(t, statement.Invalid, answerLocally(t, s, statement.Statement{Kind: statement.Begin}).Code)
	require.Equal(t, statement.Idle, answerLocally(t, s, statement.Statement{Kind: statement.Rollback}).State)
	require.Equal(t, statement.Invalid, answerLocally(t, s, statement.Statement{Kind: statement.Commit}).Code)
}

// A commit of a failed transaction must not be answered as a success.
func TestFailedTransactionAcceptsOnlyCommitAndRollback(t *testing.T) {
	s := session.New("db")
	answerLocally(t, s, statement.Statement{Kind: statement.Begin})
	s.FailTransaction()
	a := answerLocally(t, s, statement.Statement{Kind: statement.Read})
	require.Equal(t, statement.Invalid, a.Code)
	require.Equal(t, statement.TransactionFailed, a.State)
	a = answerLocally(t, s, statement.Statement{Kind: statement.Commit})
	require.Equal(t, statement.Aborted, a.Code)
	require.Equal(t, statement.Idle, a.State)
	_, answered := s.AnswerLocally(statement.Statement{Kind: statement.Read})
	require.False(t, answered)
}

func TestMalformedStatementIsAnsweredLocally(t *testing.T) {
	s := session.New("db")
	require.Equal(t, statement.Invalid, answerLocally(t, s, statement.Statement{Kind: statement.Malformed, Problem: "x"}).Code)
}

// The abort reason must not be reported in a later transaction, whichever statement
// follows the abort.
func TestAbortReasonIsReportedOnce(t *testing.T) {
	for _, first := range []statement.Kind{statement.Read, statement.Commit, statement.Rollback} {
		s := session.New("db")
		answerLocally(t, s, statement.Statement{Kind: statement.Begin})
		s.AbortTransaction("idle timeout")
		a := answerLocally(t, s, statement.Statement{Kind: first})
		if first == statement.Read {
			require.Equal(t, statement.Aborted, a.Code)
			require.Equal(t, "idle timeout", a.Detail)
			require.Equal(t, statement.TransactionFailed, a.State)
			answerLocally(t, s, statement.Statement{Kind: statement.Rollback})
		}
		answerLocally(t, s, statement.Statement{Kind: statement.Begin})
		s.FailTransaction()
		require.Equal(t, statement.Invalid, answerLocally(t, s, statement.Statement{Kind: statement.Read}).Code)
	}
}
