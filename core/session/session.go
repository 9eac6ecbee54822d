// Package session holds the state of a caller's session: session values, prepared
// statements, the state of the transaction and the position of the last commit. It
// answers the statements that need no upstream.
package session

import (
	"maps"
	"slices"
	"strings"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
)

const (
	// maxPrepared is the maximum number of prepared statements of a session.
	maxPrepared = 1000
	// maxValues is the maximum number of values of a session.
	maxValues = 1000
)

// Session is the state of one caller's session. It is not safe for concurrent use.
type Session struct {
	Database string
	// LastCommit is the position of the session's newest commit.
	LastCommit logpos.Position
	State      statement.TxState
	// ReadOnly is set in a transaction that was begun as read-only.
	ReadOnly bool
	// Wrote is set once a transaction has sent a write.
	Wrote bool
	// abortReason is why the proxy aborted the transaction; it is reported to the
	// caller once.
	abortReason string
	values      map[string]string
	prepared    map[string]statement.Shape
}

func New(database string) *Session {
	return &Session{Database: database, values: map[string]string{}, prepared: map[string]statement.Shape{}}
}

// Values returns the session values, which the caller must not modify.
func (s *Session) Values() map[string]string { return s.values }

// ValuesKey returns a string that is equal for equal sets of values only. It is empty
// for an empty set.
func ValuesKey(values map[string]string) string {
	if len(values) == 0 {
		return ""
	}
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(values)) {
		b.WriteString(name)
		b.WriteByte(0)
		b.WriteString(values[name])
		b.WriteByte(0)
	}
	return b.String()
}

// ResolvePrepared fills in the shape of the prepared statement that st executes. It
// reports false if the session has not prepared the name. Other statements are
// returned unchanged.
func (s *Session) ResolvePrepared(st statement.Statement) (statement.Statement, bool) {
	if st.Kind != statement.Execute {
		return st, true
	}
	shape, found := s.prepared[st.Name]
	return st.WithShape(shape), found
}

// AnswerLocally answers a statement that needs no upstream. It reports false if the
// statement must be sent to one.
func (s *Session) AnswerLocally(st statement.Statement) (statement.Answer, bool) {
	if st.Kind == statement.Malformed {
		return s.refuse(statement.Invalid, st.Problem), true
	}
	if s.State == statement.TransactionFailed {
		return s.answerInFailedTransaction(st), true
	}
	switch st.Kind {
	case statement.Set:
		return s.set(st), true
	case statement.Prepare:
		return s.prepare(st), true
	case statement.Deallocate:
		return s.deallocate(st), true
	case statement.Begin:
		return s.begin(st), true
	case statement.Commit, statement.Rollback:
		if s.State == statement.Idle {
			return s.refuse(statement.Invalid, "no transaction is open"), true
		}
		if st.Kind == statement.Rollback {
			s.EndTransaction()
			return statement.Answer{State: s.State}, true
		}
	}
	return statement.Answer{}, false
}

func (s *Session) refuse(code statement.Code, detail string) statement.Answer {
	return statement.ErrorAnswer(code, detail, s.State)
}

// answerInFailedTransaction accepts only a rollback or commit of a failed
// transaction. The transaction has no effect, so a commit is answered with Aborted.
func (s *Session) answerInFailedTransaction(st statement.Statement) statement.Answer {
	switch st.Kind {
	case statement.Rollback:
		s.EndTransaction()
		return statement.Answer{State: s.State}
	case statement.Commit:
		s.EndTransaction()
		return s.refuse(statement.Aborted, "the transaction had failed and was rolled back")
	default:
		return s.refuseInFailedTransaction()
	}
}

// refuseInFailedTransaction refuses a statement in a failed transaction. The first
// refusal after the proxy aborted the transaction contains the reason.
func (s *Session) refuseInFailedTransaction() statement.Answer {
	if s.abortReason == "" {
		return s.refuse(statement.Invalid, "the transaction has failed; roll it back")
	}
	reason := s.abortReason
	s.abortReason = ""
	return s.refuse(statement.Aborted, reason)
}

func (s *Session) set(st statement.Statement) statement.Answer {
	if _, found := s.values[st.Name]; !found && len(s.values) >= maxValues {
		return s.refuse(statement.Invalid, "too many session values")
	}
	s.values[st.Name] = st.Value
	return statement.Answer{State: s.State}
}

func (s *Session) prepare(st statement.Statement) statement.Answer {
	if _, found := s.prepared[st.Name]; !found && len(s.prepared) >= maxPrepared {
		return s.refuse(statement.Invalid, "too many prepared statements")
	}
	s.prepared[st.Name] = st.Shape
	return statement.Answer{State: s.State}
}

func (s *Session) deallocate(st statement.Statement) statement.Answer {
	delete(s.prepared, st.Name)
	return statement.Answer{State: s.State}
}

// begin opens a transaction without an upstream. The upstream is chosen at the first
// statement, so that the transaction occupies no connection before it.
func (s *Session) begin(st statement.Statement) statement.Answer {
	if s.State == statement.InTransaction {
		return s.refuse(statement.Invalid, "a transaction is open already")
	}
	s.State, s.ReadOnly, s.Wrote = statement.InTransaction, st.ReadOnly, false
	return statement.Answer{State: s.State}
}

// EndTransaction resets the transaction state to idle.
func (s *Session) EndTransaction() {
	s.State, s.ReadOnly, s.Wrote, s.abortReason = statement.Idle, false, false, ""
}

// FailTransaction marks the open transaction, if any, as failed.
func (s *Session) FailTransaction() {
	if s.State == statement.InTransaction {
		s.State = statement.TransactionFailed
	}
}

// AbortTransaction marks the open transaction as failed, with the reason to report to
// the caller.
func (s *Session) AbortTransaction(reason string) {
	s.FailTransaction()
	s.abortReason = reason
}
