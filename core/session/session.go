// Package session keeps what a caller's connection has been promised: values,
// prepared names, its transaction and its last commit. It decides which
// statements the system answers by itself.
package session

import (
	"maps"
	"slices"
	"strings"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
)

const (
	// maxPrepared bounds the prepared names of one session.
	maxPrepared = 1000
	// maxValues bounds the values of one session.
	maxValues = 1000
)

// Session is one caller's state. It is not safe for concurrent use.
type Session struct {
	Database string
	// Committed is the position of the session's newest commit.
	Committed logpos.Position
	State     statement.TxState
	// ReadOnly is set in a transaction that announced no writes.
	ReadOnly bool
	// Wrote is set once a transaction has sent a write.
	Wrote bool
	// lost is why the system ended the transaction; the caller is told once.
	lost     string
	values   map[string]string
	prepared map[string]statement.Shape
}

// New returns the state of a session that has just started.
func New(database string) *Session {
	return &Session{Database: database, values: map[string]string{}, prepared: map[string]statement.Shape{}}
}

// Values returns the session values. The caller must not change them.
func (s *Session) Values() map[string]string { return s.values }

// ValuesKey identifies a set of values: equal sets have equal keys.
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

// Resolve replaces a prepared name by its shape. It reports false for a name
// that the session has not prepared.
func (s *Session) Resolve(st statement.Statement) (statement.Statement, bool) {
	if st.Kind != statement.Execute {
		return st, true
	}
	shape, found := s.prepared[st.Name]
	return st.WithShape(shape), found
}

// Local answers the statements that need no upstream. It reports whether it
// did.
func (s *Session) Local(st statement.Statement) (statement.Answer, bool) {
	if st.Kind == statement.Malformed {
		return s.refuse(statement.Invalid, st.Problem), true
	}
	if s.State == statement.Failed {
		return s.inFailed(st), true
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
			s.End()
			return statement.Answer{State: s.State}, true
		}
	}
	return statement.Answer{}, false
}

func (s *Session) refuse(code statement.Code, detail string) statement.Answer {
	return statement.ErrorAnswer(code, detail, s.State)
}

// inFailed accepts only the end of a failed transaction. Nothing of it was
// kept, so a commit is answered as aborted.
func (s *Session) inFailed(st statement.Statement) statement.Answer {
	switch st.Kind {
	case statement.Rollback:
		s.End()
		return statement.Answer{State: s.State}
	case statement.Commit:
		s.End()
		return s.refuse(statement.Aborted, "the transaction had failed and was rolled back")
	default:
		return s.refuseInFailed()
	}
}

// refuseInFailed answers a statement in a failed transaction. The first one
// after the system ended the transaction is told why.
func (s *Session) refuseInFailed() statement.Answer {
	if s.lost == "" {
		return s.refuse(statement.Invalid, "the transaction has failed; roll it back")
	}
	reason := s.lost
	s.lost = ""
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

// begin opens a transaction without an upstream. One is chosen at the first
// statement, so that nothing is held during the pause before it.
func (s *Session) begin(st statement.Statement) statement.Answer {
	if s.State == statement.Open {
		return s.refuse(statement.Invalid, "a transaction is open already")
	}
	s.State, s.ReadOnly, s.Wrote = statement.Open, st.ReadOnly, false
	return statement.Answer{State: s.State}
}

// End notes that no transaction is open any more.
func (s *Session) End() {
	s.State, s.ReadOnly, s.Wrote, s.lost = statement.Idle, false, false, ""
}

// Fail notes that the open transaction is lost.
func (s *Session) Fail() {
	if s.State == statement.Open {
		s.State = statement.Failed
	}
}

// Lose notes that the system has ended the open transaction, and why.
func (s *Session) Lose(reason string) {
	s.Fail()
	s.lost = reason
}
