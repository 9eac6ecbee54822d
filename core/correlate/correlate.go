// Package correlate decides which operation an answer on a connection belongs to. The
// answers of the users' members carry no identifier, and a member may send an answer a
// second time, at once or later. An answer belongs to the operation in progress only if it
// cannot belong to an earlier one.
package correlate

import (
	"hash/maphash"
	"slices"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
)

// Attribution tells which operation an answer belongs to.
type Attribution uint8

// The attributions.
const (
	// Current is the answer to the operation in progress.
	Current Attribution = iota
	// Earlier repeats the answer to an earlier operation. The answer to the operation in
	// progress follows.
	Earlier
	// Ambiguous may be the answer to the operation in progress or to an earlier one, or is
	// not an answer to any. Nothing that follows on the connection can be attributed.
	Ambiguous
)

var attributionNames = [...]string{"current", "earlier", "ambiguous"}

func (a Attribution) String() string { return attributionNames[min(a, Ambiguous)] }

// Verdict is the attribution of one answer. Reason is empty for a Current answer.
type Verdict struct {
	Attribution Attribution
	Reason      Reason
}

// Reason explains why an answer is not that of the operation in progress.
type Reason string

// The reasons.
const (
	// RepeatedSignature is a signature that was answered before on the connection.
	RepeatedSignature Reason = "repeated_signature"
	// RepeatedAcknowledgement acknowledges an operation of the proxy, but not this one.
	RepeatedAcknowledgement Reason = "repeated_acknowledgement"
	// RepeatedLogin is the answer to the login.
	RepeatedLogin Reason = "repeated_login"
	// SecondError is an error that equals an earlier one on the connection. An error has no
	// signature, so it may be a repetition.
	SecondError Reason = "second_error"
	// SecondStatus is a status on a connection that has answered with one before.
	SecondStatus Reason = "second_status"
	// OutsideTransaction is an error outside the transaction that the operation is in. The
	// member may have refused the begin.
	OutsideTransaction Reason = "outside_transaction"
	// RepeatedRefusal is the refusal of a lagging replica, for an operation that needs no
	// position.
	RepeatedRefusal Reason = "repeated_refusal"
	// WrongForm is an answer that no operation on the connection can have.
	WrongForm Reason = "wrong_form"
	// Unreadable is an answer that violates the protocol.
	Unreadable Reason = "unreadable"
	// Unrequested is data that arrived while no operation was in progress.
	Unrequested Reason = "unrequested"
)

// rememberedAnswers is the number of answers after which a connection is retired, which bounds
// its memory to 16 kB: a repetition of an answer that is forgotten would pass for another one.
const rememberedAnswers = 2048

var seed = maphash.MakeSeed()

// Tracker follows the operations of one connection and attributes its answers. The zero
// value is a connection that has just logged in. It is not safe for concurrent use.
type Tracker struct {
	state statement.TxState
	// answered holds the hashes of the signatures and errors.
	answered []uint64
	// acknowledged, opened, reported, lagged and failed are set once the connection has
	// answered an operation of the proxy, the begin of a transaction, a control operation,
	// any operation with Behind, or with another error.
	acknowledged, opened, reported, lagged, failed bool
	// newest is the newest position in any answer.
	newest logpos.Position
	// failedAt is the newest position in an error other than Behind.
	failedAt logpos.Position
	// unconfirmed is set while the answer to the latest begin may have been an earlier one,
	// and no signed answer has followed.
	unconfirmed bool
	// retired is set once the connection should serve no other caller.
	retired bool
	// doubtful is set once an error that is not the first was taken for that of an operation,
	// until an operation of the proxy is acknowledged. unsettled is set if the error equals an
	// earlier one, until the acknowledgement has a position that no earlier answer has: the
	// operation's own answer may follow.
	doubtful, unsettled bool
}

// State returns the transaction state after the latest Current answer.
func (t *Tracker) State() statement.TxState { return t.state }

// Failed reports whether the connection has answered with an error other than Behind at or
// after a position of the member's log. An equal error would be Ambiguous.
func (t *Tracker) Failed(after logpos.Position) bool {
	return t.failed && !t.failedAt.Less(after)
}

// TellsStatus reports whether a status on the connection can be told from earlier answers:
// it has answered no control operation.
func (t *Tracker) TellsStatus() bool { return !t.reported }

// Retired reports whether the connection should be replaced once the work on it has ended:
// it has repeated an answer, or has answered often.
func (t *Tracker) Retired() bool { return t.retired }

// Unsettled reports whether the answer to an operation that has ended may still arrive. An
// operation of the proxy is to be acknowledged before the next statement is sent.
func (t *Tracker) Unsettled() bool { return t.doubtful || t.unsettled }

// Settleable reports whether the acknowledgement of an operation of the proxy would settle the
// connection, as the member's log has reached a position that no earlier answer names.
func (t *Tracker) Settleable(known logpos.Position) bool {
	return !t.unsettled || t.newest.Less(known)
}

// Retire marks the connection as one to be replaced.
func (t *Tracker) Retire() { t.retired = true }

// Certain reports whether the answer a to an operation, which is yet to be attributed, cannot
// be an earlier one, so that its position is of a time after the operation was sent. The
// begins of transactions are all answered alike.
func (t *Tracker) Certain(op statement.Operation, a statement.Answer) bool {
	if a.Code != statement.OK {
		return !t.remembers(errorText(a))
	}
	return op.Verb != statement.StartTransaction || !t.opened
}

// Attribute attributes an answer that arrived while an operation was in progress.
func (t *Tracker) Attribute(op statement.Operation, a statement.Answer) Verdict {
	v := t.attribute(op, a)
	switch v.Attribution {
	case Current:
		t.record(op, a)
	case Earlier:
		t.retired = true
	}
	t.notePosition(a)
	return v
}

func (t *Tracker) attribute(op statement.Operation, a statement.Answer) Verdict {
	switch {
	case a.Bare:
		return Verdict{Earlier, RepeatedLogin}
	case a.Code != statement.OK:
		return t.attributeError(op, a)
	case a.Signature != "" && t.remembers(a.Signature):
		return Verdict{Earlier, RepeatedSignature}
	case a.Signature == "" && t.reported && isControl(op.Verb):
		return Verdict{Ambiguous, SecondStatus}
	case t.fits(op, a):
		return Verdict{}
	case t.fitsEarlierAcknowledgement(a):
		return Verdict{Earlier, RepeatedAcknowledgement}
	}
	return Verdict{Ambiguous, WrongForm}
}

// AttributeEarly attributes an answer that arrived before the next operation was sent. It is
// Earlier if it repeats an answer, and Ambiguous otherwise: the member may have refused an
// operation for which a repeated acknowledgement was taken.
func (t *Tracker) AttributeEarly(a statement.Answer) Verdict {
	t.retired = true
	t.notePosition(a)
	known := a.Bare
	switch {
	case a.Code != statement.OK:
		known = t.remembers(errorText(a))
	case a.Signature != "":
		known = t.remembers(a.Signature)
	default:
		known = known || t.fitsEarlierAcknowledgement(a)
	}
	if known {
		return Verdict{Earlier, Unrequested}
	}
	return Verdict{Ambiguous, Unrequested}
}

// attributeError attributes an error. The first one on a connection cannot be a repetition, nor
// can one that differs from all earlier ones; the connection is unsettled until an operation of
// the proxy is acknowledged. What has no effect takes an equal one for its own as well, and runs
// elsewhere next, or again in the same transaction. An error that ends the transaction may be
// that of its begin, if a copy passed for the answer to it: only a commit ends a transaction
// with an error.
func (t *Tracker) attributeError(op statement.Operation, a statement.Answer) Verdict {
	switch {
	case a.Code == statement.Behind && op.MinPosition.IsZero():
		if t.lagged {
			return Verdict{Earlier, RepeatedRefusal}
		}
		return Verdict{Ambiguous, WrongForm}
	case t.state == statement.Idle && a.State != statement.Idle, len(a.Rows) > 0 && !isRead(op):
		return Verdict{Ambiguous, WrongForm}
	case a.Code == statement.ReadOnlyMember && (t.state == statement.Idle && isRead(op) || opensRead(op)):
		// Members refuse only writes and what is in a read-write transaction.
		return Verdict{Ambiguous, WrongForm}
	case t.state != statement.Idle && a.State == statement.Idle && (!isCommit(op) || t.unconfirmed):
		return Verdict{Ambiguous, OutsideTransaction}
	case t.remembers(errorText(a)) && !op.SoleRead && (t.state != statement.Idle || !isHarmless(op)):
		return Verdict{Ambiguous, SecondError}
	}
	return Verdict{}
}

// fits reports whether a success has the form of the operation's.
func (t *Tracker) fits(op statement.Operation, a statement.Answer) bool {
	rows, state := len(a.Rows) == 0, t.state
	switch {
	case isRead(op):
		rows = true
	case isControl(op.Verb):
		rows = len(a.Rows) == 1
	case op.Verb == statement.StartTransaction:
		if a.Position.Less(op.MinPosition) && !a.Position.IsZero() {
			// The member has opened no transaction before the position.
			return false
		}
		state = statement.InTransaction
	case op.Verb == statement.RollbackTransaction || isCommit(op):
		state = statement.Idle
	}
	return rows && a.State == state && (a.Signature != "") == isCallers(op.Verb)
}

// fitsEarlierAcknowledgement reports whether a success that is not that of the operation in
// progress has the form of the answer to an earlier operation of the proxy.
func (t *Tracker) fitsEarlierAcknowledgement(a statement.Answer) bool {
	if a.Signature != "" {
		return false
	}
	return len(a.Rows) == 0 && t.acknowledged || len(a.Rows) == 1 && t.reported
}

func (t *Tracker) record(op statement.Operation, a statement.Answer) {
	t.state = a.State
	t.reported = t.reported || isControl(op.Verb)
	switch {
	case a.Code != statement.OK:
		t.doubtful = t.lagged || t.failed
		t.unsettled = t.unsettled || t.remembers(errorText(a))
		t.lagged = t.lagged || a.Code == statement.Behind
		if a.Code != statement.Behind {
			t.failed = true
			if t.failedAt.Less(a.Position) {
				t.failedAt = a.Position
			}
		}
		t.remember(errorText(a))
	case a.Signature != "":
		t.unconfirmed = false
		t.remember(a.Signature)
	case !isControl(op.Verb):
		t.acknowledged = true
		t.doubtful = false
		t.unsettled = t.unsettled && !t.newest.Less(a.Position)
		if op.Verb == statement.StartTransaction {
			t.unconfirmed, t.opened = t.opened, true
		}
	}
}

// errorText is equal for two errors if one may repeat the other. The blank sets it apart from
// signatures, which have none.
func errorText(a statement.Answer) string {
	return a.Code.String() + " " + a.Position.String() + " " + a.Detail
}

// notePosition records the position in an answer, also in a skipped one, which may be repeated
// too.
func (t *Tracker) notePosition(a statement.Answer) {
	if t.newest.Less(a.Position) {
		t.newest = a.Position
	}
}

func (t *Tracker) remembers(text string) bool {
	return slices.Contains(t.answered, maphash.String(seed, text))
}

func (t *Tracker) remember(text string) {
	t.answered = append(t.answered, maphash.String(seed, text))
	t.retired = t.retired || len(t.answered) >= rememberedAnswers
}

// isCallers reports whether an operation runs a statement of a caller, whose success is
// signed.
func isCallers(v statement.Verb) bool {
	return v == statement.Forward || v == statement.ExecutePrepared
}

// isControl reports whether an operation is answered with a status.
func isControl(v statement.Verb) bool {
	switch v {
	case statement.ReportStatus, statement.PauseReplication, statement.ResumeReplication, statement.StepDown:
		return true
	}
	return false
}

func isRead(op statement.Operation) bool { return isCallers(op.Verb) && op.Kind == statement.Read }

// opensRead reports whether an operation opens a transaction that only reads.
func opensRead(op statement.Operation) bool {
	return op.Verb == statement.StartTransaction && op.ReadOnly
}

// isHarmless reports whether an operation changes no data, so that it may be taken for refused
// although it runs. A control operation that is refused is sent again.
func isHarmless(op statement.Operation) bool {
	return isRead(op) || opensRead(op) || isControl(op.Verb)
}

func isCommit(op statement.Operation) bool { return isCallers(op.Verb) && op.Kind == statement.Commit }
