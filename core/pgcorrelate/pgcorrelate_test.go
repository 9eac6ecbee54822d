package pgcorrelate_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/pgcorrelate"
)

// operation is a request with the answer that a member gives.
type operation struct {
	request pgcorrelate.Request
	answer  pgcorrelate.Answer
}

// write returns an INSERT, whose position no other answer has.
func write(serial int) operation {
	return operation{
		pgcorrelate.Request{Kinds: []byte("Q"), Keyword: "INSERT"},
		pgcorrelate.Answer{Kinds: []byte("C"), FirstTag: "INSERT 0 1", LastTag: "INSERT 0 1", TxStatus: 'I', Content: []byte("INSERT 0 1"), Position: fmt.Sprint(serial)},
	}
}

// read returns a SELECT of one of few rows, whose answers recur.
func read(row int) operation {
	return operation{
		pgcorrelate.Request{Kinds: []byte("PBDES"), Keyword: "SELECT"},
		pgcorrelate.Answer{Kinds: []byte("12TDC"), FirstTag: "SELECT 1", LastTag: "SELECT 1", TxStatus: 'I', Content: fmt.Appendf(nil, "row %d", row)},
	}
}

// TestChosenAnswerIsThatToTheRequest guards against an answer to an earlier request being
// taken for that to a later one, whatever a member repeats and however late. The model sends
// each answer once in order, and copies of any before it at any moment.
func TestChosenAnswerIsThatToTheRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker pgcorrelate.Tracker
		var sent []pgcorrelate.Answer
		copies := func(label string) []pgcorrelate.Answer {
			if len(sent) == 0 {
				return nil
			}
			return rapid.SliceOfN(rapid.SampledFrom(sent), 0, 3).Draw(t, label)
		}
		for i := range rapid.IntRange(1, 30).Draw(t, "requests") {
			op := read(rapid.IntRange(0, 2).Draw(t, "row"))
			if rapid.Bool().Draw(t, "write") {
				op = write(i)
			}
			answers := copies("before")
			sent = append(sent, op.answer)
			answers = append(append(answers, op.answer), copies("after")...)
			v := tracker.Choose(op.request, answers, 'I')
			echo := pgcorrelate.Answer{Kinds: []byte("1tn"), TxStatus: 'I', Content: fmt.Appendf(nil, "marker %d", i)}
			tracker.Remember(echo)
			sent = append(sent, echo)
			if v.Index >= 0 {
				require.Equal(t, op.answer, answers[v.Index])
				require.Equal(t, len(answers) > 1, v.Reason != "")
				continue
			}
			require.Equal(t, pgcorrelate.Ambiguous, v.Reason)
			require.Equal(t, "SELECT", op.request.Keyword, "the answer to a write can always be told")
		}
	})
}

// TestAnswerFitsRequest guards against answers that a request cannot have, and against the
// rejection of unusual ones that it can have.
func TestAnswerFitsRequest(t *testing.T) {
	for _, c := range []struct {
		request, keyword, answer, tag string
		status                        byte
		fits                          bool
	}{
		{"Q", "SELECT", "TDC", "SELECT 1", 'I', true},
		{"Q", "SELECT", "TC", "SELECT 0", 'T', true},
		{"Q", "SELECT", "", "", 'I', false},
		{"Q", "SELECT", "TD", "", 'I', false},
		{"Q", "SELECT", "DC", "SELECT 1", 'I', false},
		{"Q", "SELECT", "TDE", "", 'I', true},
		{"Q", "SELECT", "TDE", "", 'T', false},
		{"Q", "SELECT", "EC", "SELECT 1", 'E', false},
		{"Q", "SELECT", "C", "INSERT 0 1", 'I', false},
		{"Q", "INSERT", "TDC", "INSERT 0 1", 'I', true},
		{"Q", "INSERT", "TDC", "SELECT 1", 'I', false},
		{"Q", "WITH", "C", "INSERT 0 1", 'I', true},
		{"Q", "", "I", "", 'I', true},
		{"Q", "BEGIN", "C", "BEGIN", 'I', false},
		{"Q", "BEGIN", "C", "BEGIN", 'T', true},
		{"Q", "START", "C", "START TRANSACTION", 'T', true},
		{"Q", "COMMIT", "C", "ROLLBACK", 'I', true},
		{"Q", "COMMIT", "C", "COMMIT", 'T', true},
		{"Q", "", "CTDCE", "BEGIN", 'E', true},
		{"Q", "COPY", "HdcC", "COPY 1", 'I', true},
		{"Q", "", "RSKZ", "", 'I', false},
		{"Q", "SELECT", "TDC", "SELECT 1", 'X', false},
		{"PsS", "SELECT", "1tT", "", 'I', true},
		{"PsS", "INSERT", "1tn", "", 'I', true},
		{"PsS", "SELECT", "1T", "", 'I', false},
		{"PBDES", "SELECT", "12TDC", "SELECT 1", 'I', true},
		{"PBDES", "SELECT", "12TDs", "", 'T', true},
		{"PBDES", "INSERT", "12nC", "INSERT 0 1", 'I', true},
		{"PBDES", "INSERT", "12E", "", 'E', true},
		{"PBDES", "INSERT", "E", "", 'I', true},
		{"PBDES", "INSERT", "12n", "", 'I', false},
		{"PBDES", "INSERT", "2nC", "INSERT 0 1", 'I', false},
		{"PBDES", "SELECT", "TDC", "SELECT 1", 'I', false},
		{"PBEBES", "", "12C2C", "INSERT 0 1", 'I', true},
		{"PBEBES", "", "12C", "INSERT 0 1", 'I', false},
		{"CS", "", "3", "", 'E', true},
	} {
		var tracker pgcorrelate.Tracker
		a := pgcorrelate.Answer{Kinds: []byte(c.answer), FirstTag: c.tag, LastTag: c.tag, TxStatus: c.status}
		v := tracker.Choose(pgcorrelate.Request{Kinds: []byte(c.request), Keyword: c.keyword}, []pgcorrelate.Answer{a}, c.status)
		require.Equal(t, c.fits, v.Index == 0, "%+v: %s", c, v.Reason)
	}
}

// TestStatusIsThatOfTheEcho guards against an answer from before a transaction began or ended.
func TestStatusIsThatOfTheEcho(t *testing.T) {
	var tracker pgcorrelate.Tracker
	op := read(1)
	v := tracker.Choose(op.request, []pgcorrelate.Answer{op.answer}, 'T')
	require.Equal(t, pgcorrelate.Verdict{Index: -1, Reason: pgcorrelate.WrongForm}, v)
	v = tracker.Choose(op.request, nil, 'I')
	require.Equal(t, pgcorrelate.Missing, v.Reason)
}

// TestForgottenAnswersAreAmbiguous guards against a guess when a repetition arrives after the
// memory of a connection has lost the answer.
func TestForgottenAnswersAreAmbiguous(t *testing.T) {
	const more = 1100
	var tracker pgcorrelate.Tracker
	for i := range more {
		op := write(i)
		require.Zero(t, tracker.Choose(op.request, []pgcorrelate.Answer{op.answer}, 'I').Index)
	}
	op := write(more)
	v := tracker.Choose(op.request, []pgcorrelate.Answer{write(more - 1).answer, op.answer}, 'I')
	require.Equal(t, pgcorrelate.Verdict{Index: 1, Reason: pgcorrelate.Repeated}, v)
	op = write(more + 1)
	v = tracker.Choose(op.request, []pgcorrelate.Answer{write(0).answer, op.answer}, 'I')
	require.Equal(t, pgcorrelate.Verdict{Index: -1, Reason: pgcorrelate.Ambiguous}, v)
}
