package correlate_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/correlate"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
)

func operation(verb statement.Verb, kind statement.Kind) statement.Operation {
	return statement.Operation{Verb: verb, Kind: kind}
}

var (
	read   = operation(statement.Forward, statement.Read)
	write  = operation(statement.ExecutePrepared, statement.Write)
	commit = operation(statement.Forward, statement.Commit)
	begin  = operation(statement.StartTransaction, 0)
	set    = operation(statement.SetParameter, 0)
	status = operation(statement.ReportStatus, 0)
)

func signed(signature string, rows ...string) statement.Answer {
	return statement.Answer{Signature: signature, Rows: rows}
}

func busy() statement.Answer {
	return statement.ErrorAnswer(statement.Busy, "", statement.Idle)
}

// TestAnswersAreAttributed has one case for each way in which an answer can be told from that
// of the operation in progress. All but the last answer of a case are Current.
func TestAnswersAreAttributed(t *testing.T) {
	type step struct {
		op statement.Operation
		a  statement.Answer
	}
	opened := statement.Answer{State: statement.InTransaction}
	inTx := func(a statement.Answer) statement.Answer { a.State = statement.InTransaction; return a }
	cases := map[string]struct {
		steps []step
		want  correlate.Verdict
	}{
		"own":                      {[]step{{read, signed("a", "x", "y")}, {write, signed("b")}}, correlate.Verdict{}},
		"signature of a read":      {[]step{{read, signed("a", "x")}, {read, signed("a", "x")}}, correlate.Verdict{Attribution: correlate.Earlier, Reason: correlate.RepeatedSignature}},
		"login":                    {[]step{{read, statement.Answer{Bare: true}}}, correlate.Verdict{Attribution: correlate.Earlier, Reason: correlate.RepeatedLogin}},
		"acknowledgement":          {[]step{{set, statement.Answer{}}, {write, statement.Answer{}}}, correlate.Verdict{Attribution: correlate.Earlier, Reason: correlate.RepeatedAcknowledgement}},
		"no signature":             {[]step{{write, statement.Answer{}}}, correlate.Verdict{Attribution: correlate.Ambiguous, Reason: correlate.WrongForm}},
		"set before begin":         {[]step{{set, statement.Answer{}}, {begin, statement.Answer{}}}, correlate.Verdict{Attribution: correlate.Earlier, Reason: correlate.RepeatedAcknowledgement}},
		"rows for a write":         {[]step{{write, signed("a", "x")}}, correlate.Verdict{Attribution: correlate.Ambiguous, Reason: correlate.WrongForm}},
		"outside the transaction":  {[]step{{begin, opened}, {write, signed("a")}}, correlate.Verdict{Attribution: correlate.Ambiguous, Reason: correlate.WrongForm}},
		"inside no transaction":    {[]step{{read, inTx(signed("a", "x"))}}, correlate.Verdict{Attribution: correlate.Ambiguous, Reason: correlate.WrongForm}},
		"commit ends":              {[]step{{begin, opened}, {commit, signed("a")}}, correlate.Verdict{}},
		"second refusal, write":    {[]step{{read, busy()}, {write, busy()}}, correlate.Verdict{Attribution: correlate.Ambiguous, Reason: correlate.SecondError}},
		"second refusal, read":     {[]step{{read, busy()}, {read, busy()}}, correlate.Verdict{}},
		"second refusal, in a row": {[]step{{begin, opened}, {read, inTx(busy())}, {read, inTx(busy())}}, correlate.Verdict{Attribution: correlate.Ambiguous, Reason: correlate.SecondError}},
		"refused as a write":       {[]step{{read, statement.ErrorAnswer(statement.ReadOnlyMember, "", statement.Idle)}}, correlate.Verdict{Attribution: correlate.Ambiguous, Reason: correlate.WrongForm}},
		"failed elsewhere":         {[]step{{read, statement.ErrorAnswer(statement.Failure, "", statement.TransactionFailed)}}, correlate.Verdict{Attribution: correlate.Ambiguous, Reason: correlate.WrongForm}},
		"status for a write":       {[]step{{status, statement.Answer{Rows: []string{"primary"}}}, {write, statement.Answer{Rows: []string{"primary"}}}}, correlate.Verdict{Attribution: correlate.Earlier, Reason: correlate.RepeatedAcknowledgement}},
		"second status":            {[]step{{status, statement.Answer{Rows: []string{"primary"}}}, {status, statement.Answer{Rows: []string{"replica"}}}}, correlate.Verdict{Attribution: correlate.Ambiguous, Reason: correlate.SecondStatus}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var tracker correlate.Tracker
			for i, s := range c.steps {
				want := correlate.Verdict{}
				if i == len(c.steps)-1 {
					want = c.want
				}
				require.Equal(t, want, tracker.Attribute(s.op, s.a))
			}
		})
	}
}

// stutteringMember answers operations in order, and refuses a quarter of the callers'.
type stutteringMember struct{ copyingMember }

// run executes an operation and returns its number.
func (m *stutteringMember) run(op statement.Operation) int {
	m.sent++
	a := statement.Answer{}
	switch {
	case op.Kind == 0 && op.Verb == statement.StartTransaction:
		m.state = statement.InTransaction
	case op.Kind == 0 && op.Verb == statement.RollbackTransaction:
		m.state = statement.Idle
	case op.Kind == 0 && op.Verb == statement.ReportStatus:
		a.Rows = []string{fmt.Sprint("primary ", m.offset)}
	case op.Kind != 0 && m.random.IntN(4) == 0:
		a.Code = statement.Busy
	case op.Kind != 0:
		a.Signature = fmt.Sprint("sig", m.sent)
		if op.Kind == statement.Read {
			a.Rows = []string{fmt.Sprint("row", m.sent)}
		}
		if op.Kind == statement.Commit {
			m.state = statement.Idle
		}
	}
	m.offset++
	m.send(a)
	return m.sent
}

// next returns the next operation in the current state that suits the connection.
func (m *stutteringMember) next(t *correlate.Tracker) statement.Operation {
	if t.State() != statement.Idle {
		return []statement.Operation{read, write, commit, set, operation(statement.RollbackTransaction, 0)}[m.random.IntN(5)]
	}
	if t.Unsettled() {
		return set
	}
	op := []statement.Operation{read, read, write, set, begin, status}[m.random.IntN(6)]
	if op.Verb == statement.ReportStatus && !t.TellsStatus() || (op.Kind == statement.Write || op.Verb == statement.StartTransaction) && t.Failed(m.known) {
		return read
	}
	return op
}

// TestRepeatedAnswersAreNotTakenForOthers guards against an answer that a member repeats, at
// any time, and that is taken for another statement's: a success, a status, a refusal of a
// write or in a transaction, or a position that counts as new.
func TestRepeatedAnswersAreNotTakenForOthers(t *testing.T) {
	current := 0
	for seed := range uint64(20000) {
		m := &stutteringMember{copyingMember{random: rand.New(rand.NewPCG(seed, 69)), copyOneIn: 3}}
		var tracker correlate.Tracker
		for range 12 {
			if tracker.State() == statement.Idle && (tracker.Retired() || !tracker.Settleable(m.known)) {
				break
			}
			op := m.next(&tracker)
			own, inTx := m.run(op), tracker.State() != statement.Idle
			verdict := correlate.Verdict{Attribution: correlate.Earlier}
			var got repeated
			certain := false
			for verdict.Attribution == correlate.Earlier && len(m.stream) > 0 {
				got = m.receive()
				certain = tracker.Certain(op, got.answer)
				verdict = tracker.Attribute(op, got.answer)
			}
			require.NotEqual(t, correlate.Earlier, verdict.Attribution, "seed %d: the answer to the operation was skipped", seed)
			if verdict.Attribution == correlate.Ambiguous {
				break
			}
			if op.Verb == statement.SetParameter && got.answer.Code != statement.OK {
				// The connection is given up before anything else is sent.
				break
			}
			current++
			if certain {
				m.notePosition(got.answer.Position)
			}
			// A read or a status that is taken for refused has no effect.
			harmless := op.Kind == statement.Read || op.Verb == statement.ReportStatus
			mustBeOwn := got.answer.Signature != "" || len(got.answer.Rows) > 0 || got.answer.Code != statement.OK && (inTx || !harmless)
			if got.of != own && got.answer.Code != statement.OK {
				require.True(t, tracker.Retired() || tracker.Unsettled(), "seed %d: a repeated error leaves the connection in use", seed)
			}
			if mustBeOwn || op.Kind != 0 && certain {
				require.Equal(t, own, got.of, "seed %d: %+v for %+v", seed, got.answer, op)
			}
		}
	}
	require.Greater(t, current, 20000)
}
