package session_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/session"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
)

func local(t *testing.T, s *session.Session, st statement.Statement) statement.Answer {
	t.Helper()
	a, ok := s.Local(st)
	require.True(t, ok, "%s needs no upstream", st.Kind)
	return a
}

func TestPreparedNamesBelongToTheSession(t *testing.T) {
	a, b := session.New("db"), session.New("db")
	prepare := statement.Statement{Kind: statement.Prepare, Name: "s1", Shape: statement.Shape{Write: true, Text: "q"}}
	require.Equal(t, statement.OK, local(t, a, prepare).Code)
	execute := statement.Statement{Kind: statement.Execute, Name: "s1"}
	st, known := a.Resolve(execute)
	require.True(t, known)
	require.True(t, st.Writes())
	_, known = b.Resolve(execute)
	require.False(t, known)
	local(t, a, statement.Statement{Kind: statement.Deallocate, Name: "s1"})
	_, known = a.Resolve(execute)
	require.False(t, known)
}

func TestValuesKeyTellsSetsApart(t *testing.T) {
	require.Equal(t, session.ValuesKey(map[string]string{"a": "1", "b": "2"}), session.ValuesKey(map[string]string{"b": "2", "a": "1"}))
	require.NotEqual(t, session.ValuesKey(map[string]string{"a": "1b"}), session.ValuesKey(map[string]string{"a1": "b"}))
	require.Empty(t, session.ValuesKey(nil))
}

func TestBeginAndRollbackNeedNoUpstream(t *testing.T) {
	s := session.New("db")
	require.Equal(t, statement.Open, local(t, s, statement.Statement{Kind: statement.Begin, ReadOnly: true}).State)
	require.True(t, s.ReadOnly)
	require.Equal(t, statement.Invalid, local(t, s, statement.Statement{Kind: statement.Begin}).Code)
	require.Equal(t, statement.Idle, local(t, s, statement.Statement{Kind: statement.Rollback}).State)
	require.Equal(t, statement.Invalid, local(t, s, statement.Statement{Kind: statement.Commit}).Code)
}

// TestFailedTransactionAcceptsOnlyItsEnd: a commit of a failed transaction must
// not look like a success.
func TestFailedTransactionAcceptsOnlyItsEnd(t *testing.T) {
	s := session.New("db")
	local(t, s, statement.Statement{Kind: statement.Begin})
	s.Fail()
	a := local(t, s, statement.Statement{Kind: statement.Read})
	require.Equal(t, statement.Invalid, a.Code)
	require.Equal(t, statement.Failed, a.State)
	a = local(t, s, statement.Statement{Kind: statement.Commit})
	require.Equal(t, statement.Aborted, a.Code)
	require.Equal(t, statement.Idle, a.State)
	_, needsNone := s.Local(statement.Statement{Kind: statement.Read})
	require.False(t, needsNone)
}

func TestMalformedNeverLeavesTheHost(t *testing.T) {
	s := session.New("db")
	require.Equal(t, statement.Invalid, local(t, s, statement.Statement{Kind: statement.Malformed, Problem: "x"}).Code)
}

// TestReasonOfALostTransactionIsToldOnce: it must not turn up in a later
// transaction, whichever statement the caller learns of the loss by.
func TestReasonOfALostTransactionIsToldOnce(t *testing.T) {
	for _, first := range []statement.Kind{statement.Read, statement.Commit, statement.Rollback} {
		s := session.New("db")
		local(t, s, statement.Statement{Kind: statement.Begin})
		s.Lose("it rested")
		a := local(t, s, statement.Statement{Kind: first})
		if first == statement.Read {
			require.Equal(t, statement.Aborted, a.Code)
			require.Equal(t, "it rested", a.Detail)
			require.Equal(t, statement.Failed, a.State)
			local(t, s, statement.Statement{Kind: statement.Rollback})
		}
		local(t, s, statement.Statement{Kind: statement.Begin})
		s.Fail()
		require.Equal(t, statement.Invalid, local(t, s, statement.Statement{Kind: statement.Read}).Code)
	}
}
