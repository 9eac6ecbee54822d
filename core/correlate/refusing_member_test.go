package correlate_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/correlate"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
)

// refusingMember answers operations in order and refuses some of any kind.
type refusingMember struct {
	copyingMember
	// refuseOwn allows the refusal of operations of the proxy but begins.
	refuseOwn bool
}

// newRefusingMember returns the member of a seed.
func newRefusingMember(seed uint64) *refusingMember {
	return &refusingMember{copyingMember: copyingMember{random: rand.New(rand.NewPCG(seed, 70)), copyOneIn: 6}}
}

func (m *refusingMember) answer(op statement.Operation) statement.Answer {
	refused := m.random.IntN(3) == 0
	callers := op.Verb == statement.Forward || op.Verb == statement.ExecutePrepared
	switch {
	case m.state == statement.TransactionFailed && op.Verb != statement.RollbackTransaction && op.Kind != statement.Commit:
		return statement.Answer{Code: statement.Invalid}
	case op.Verb == statement.StartTransaction && refused:
		return statement.Answer{Code: []statement.Code{statement.Busy, statement.ReadOnlyMember, statement.Behind}[m.random.IntN(3)]}
	case !callers && refused && m.refuseOwn && op.Verb != statement.RollbackTransaction:
		return statement.Answer{Code: statement.Busy}
	case op.Verb == statement.StartTransaction:
		m.state = statement.InTransaction
	case op.Verb == statement.RollbackTransaction:
		m.state = statement.Idle
	case op.Verb == statement.ReportStatus:
		return statement.Answer{Rows: []string{fmt.Sprint("primary ", m.offset)}}
	case op.Kind == statement.Commit && m.state != statement.InTransaction:
		m.state = statement.Idle
		return statement.Answer{Code: statement.Aborted}
	case op.Kind == statement.Commit && refused:
		m.state = statement.Idle
		return statement.Answer{Code: statement.ReadOnlyMember}
	case callers && refused:
		code := []statement.Code{statement.Busy, statement.Failure, statement.Behind}[m.random.IntN(3)]
		if m.state == statement.InTransaction && code == statement.Failure {
			m.state = statement.TransactionFailed
		}
		return statement.Answer{Code: code}
	case callers:
		if op.Kind == statement.Commit {
			m.state = statement.Idle
		}
		a := statement.Answer{Signature: fmt.Sprint("sig", m.sent)}
		if op.Kind == statement.Read {
			a.Rows = []string{fmt.Sprint("row", m.sent)}
		}
		return a
	}
	return statement.Answer{}
}

func (m *refusingMember) run(op statement.Operation) int {
	m.sent++
	a := m.answer(op)
	if m.random.IntN(2) == 0 {
		m.offset++
	}
	m.send(a)
	return m.sent
}

var (
	reset    = operation(statement.ResetSession, 0)
	prepare  = operation(statement.PrepareStatement, 0)
	rollback = operation(statement.RollbackTransaction, 0)
)

// next returns an operation that the replica set would send on the connection.
func (m *refusingMember) next(t *correlate.Tracker) statement.Operation {
	switch t.State() {
	case statement.InTransaction:
		return []statement.Operation{read, write, commit, set, prepare, rollback}[m.random.IntN(6)]
	case statement.TransactionFailed:
		return rollback
	}
	if t.Unsettled() {
		return set
	}
	readOnly := operation(statement.StartTransaction, 0)
	readOnly.ReadOnly = true
	op := []statement.Operation{read, read, write, set, reset, prepare, begin, readOnly, status}[m.random.IntN(9)]
	if op.Verb == statement.ReportStatus && !t.TellsStatus() || (op.Kind == statement.Write || op.Verb == statement.StartTransaction && !op.ReadOnly) && t.Failed(m.known) {
		return read
	}
	return op
}

// mistakes counts the answers that were taken for another operation's, by kind.
type mistakes map[string]int

// use runs operations on one connection until it is given up, and records the first mistake.
func (m *refusingMember) use(found mistakes) {
	var tracker correlate.Tracker
	for range 16 {
		state := tracker.State()
		if state == statement.Idle && (tracker.Retired() || !tracker.Settleable(m.known)) {
			return
		}
		op := m.next(&tracker)
		own := m.run(op)
		got, verdict, arrived := m.attribute(&tracker, op)
		if !arrived || verdict == correlate.Ambiguous {
			return
		}
		if kind := mistake(op, state, got.answer, &tracker); got.of != own && kind != "" {
			found[kind]++
			return
		}
	}
}

// attribute reads answers up to one that does not repeat an earlier one.
func (m *refusingMember) attribute(t *correlate.Tracker, op statement.Operation) (got repeated, verdict correlate.Attribution, arrived bool) {
	for len(m.stream) > 0 {
		got = m.receive()
		if t.Certain(op, got.answer) {
			m.notePosition(got.answer.Position)
		}
		if v := t.Attribute(op, got.answer); v.Attribution != correlate.Earlier {
			return got, v.Attribution, true
		}
	}
	return got, correlate.Earlier, false
}

// mistake returns what is wrong if an answer is not that of the operation; empty if nothing is.
func mistake(op statement.Operation, state statement.TxState, a statement.Answer, t *correlate.Tracker) string {
	switch {
	case a.Signature != "" || len(a.Rows) > 0:
		return "success of another operation"
	case a.Code != statement.OK && op.Kind != 0 && (state != statement.Idle || op.Kind != statement.Read):
		return "refusal of another operation"
	case a.Code != statement.OK && !t.Retired() && !t.Unsettled():
		return "error of another operation, connection in use"
	}
	return ""
}

// TestRefusedOperationsAreNotTakenForOthers guards against an answer that is taken for another
// operation's after a copy has passed for the answer to a begin that the member refused.
func TestRefusedOperationsAreNotTakenForOthers(t *testing.T) {
	found := mistakes{}
	for seed := range uint64(30000) {
		newRefusingMember(seed).use(found)
	}
	require.Empty(t, found)
}

// TestRefusedOwnOperationsAreNotTakenForOthers guards against an answer that is taken for another
// operation's after a copy has passed for the answer to a SET, PREPARE, RESET or STATUS that the
// member refused.
func TestRefusedOwnOperationsAreNotTakenForOthers(t *testing.T) {
	found := mistakes{}
	for seed := range uint64(30000) {
		m := newRefusingMember(seed)
		m.refuseOwn = true
		m.use(found)
	}
	require.Empty(t, found)
}
