// Package shutdown decides what a host that is stopped does with its callers' sessions, from
// the signal to the end of its grace period. A statement that a member has got is answered
// before its connection is closed; what can't be answered in time is refused before it is
// sent to a member.
package shutdown

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/statement"
)

// Phase is a part of the grace period.
type Phase uint8

const (
	// Notice is the time for the platform to notice that the host is not ready any more.
	// Everything is served.
	Notice Phase = iota
	// Draining closes sessions that are idle. Transactions go on.
	Draining
	// Finishing ends the transactions that have been idle since before it, and starts none.
	Finishing
	// Refusing sends no statement to a member any more. Those at work are awaited.
	Refusing
	// Closing closes each session that waits for no answer.
	Closing
)

// starts holds the start of each phase as a fraction of the grace period. An open
// transaction has the first half to end. Refusing is long enough for a statement that has
// just been sent, and what follows Closing for the end of the process.
var starts = [...]float64{Notice: 0, Draining: 0.4, Finishing: 0.55, Refusing: 0.8, Closing: 0.95}

const (
	// lastAnswer is when the last statement is answered, as a fraction of the grace period.
	lastAnswer = 0.93
	// end is when the connections that are left are closed, as a fraction of it.
	end = 0.97
)

// Plan is the course of one stop. Times are on the clock of the caller.
type Plan struct {
	// Start is when the host was told to stop, Grace how long it may run afterwards.
	Start, Grace time.Duration
}

// StartOf returns when a phase starts.
func (p Plan) StartOf(phase Phase) time.Duration { return p.at(starts[phase]) }

// AnswerDeadline returns when the last statement has to be answered.
func (p Plan) AnswerDeadline() time.Duration { return p.at(lastAnswer) }

// End returns when the connections that are left are closed, also those with a statement at
// work that arrived before the stop.
func (p Plan) End() time.Duration { return p.at(end) }

func (p Plan) at(fraction float64) time.Duration {
	return p.Start + time.Duration(fraction*float64(p.Grace))
}

// PhaseAt returns the phase at a time.
func (p Plan) PhaseAt(now time.Duration) Phase {
	phase := Notice
	for next := Draining; next <= Closing && now >= p.StartOf(next); next++ {
		phase = next
	}
	return phase
}

// Action is what becomes of a session that waits for no answer.
type Action uint8

const (
	// Keep leaves the session open.
	Keep Action = iota
	// Abort rolls the transaction back. The caller learns it in answer to its next
	// statement.
	Abort
	// Close closes the connection.
	Close
)

// BetweenStatements decides about a session that waits for no answer and has been in this
// state since a time. A failed transaction has no effect and waits for the caller to end it.
func (p Plan) BetweenStatements(state statement.TxState, since, now time.Duration) Action {
	phase := p.PhaseAt(now)
	switch {
	case phase == Closing:
		return Close
	case state == statement.Idle && phase >= Draining:
		return Close
	case state == statement.InTransaction && phase >= Refusing:
		return Abort
	case state == statement.InTransaction && phase == Finishing && since < p.StartOf(Finishing):
		return Abort
	}
	return Keep
}

// Admits reports whether a statement that has arrived may be served. begins is set for the
// begin of a transaction.
func (p Plan) Admits(begins bool, now time.Duration) bool {
	phase := p.PhaseAt(now)
	return phase < Finishing || phase == Finishing && !begins
}
