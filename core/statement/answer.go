package statement

import (
	"errors"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// ErrProtocol is wrapped by errors about bytes that violate a protocol, in contrast to
// failures of the connection that carries them.
var ErrProtocol = errors.New("protocol violation")

// TxState is the transaction state of a session after a statement.
type TxState uint8

// The transaction states.
const (
	// Idle means that no transaction is open.
	Idle TxState = iota
	// InTransaction means that a transaction is open.
	InTransaction
	// TransactionFailed means that a statement of the open transaction failed, so that
	// only a commit or rollback is accepted.
	TransactionFailed
)

// Code is the result code of a statement.
type Code uint8

// The codes. Their order is part of the protocol between hosts. Busy to
// UnknownStatement guarantee that the attempt had no effect; the later codes do not.
// Callers see the codes of package outcome instead.
const (
	// OK means that the statement succeeded.
	OK Code = iota
	// Busy means that the statement was refused for lack of capacity.
	Busy
	// Aborted means that the transaction was rolled back.
	Aborted
	// Behind means that the member has not applied the required log position.
	Behind
	// ReadOnlyMember means that the member is not the primary and cannot write.
	ReadOnlyMember
	// TooManyConnections means that the member's connection limit is reached.
	TooManyConnections
	// WrongMember means that another member or service answers at the address.
	WrongMember
	// UnknownStatement means that the connection lacks the prepared statement.
	UnknownStatement
	// Failure means that the statement ran and failed.
	Failure
	// TimedOut means that the statement timed out and may have run.
	TimedOut
	// InDoubt means that it is unknown whether a write was committed.
	InDoubt
	// UnknownDatabase means that no route has the database name.
	UnknownDatabase
	// TooLarge means that a message exceeds the size limit.
	TooLarge
	// Invalid means that a message is malformed or not allowed in the current state.
	Invalid
	// Unauthorized means that the caller lacks the permission.
	Unauthorized
	// Unrecognized stands for a code that this version does not know.
	Unrecognized
)

var codeNames = [...]string{
	"ok", "busy", "aborted", "behind", "read_only_member", "too_many_connections", "wrong_member",
	"unknown_statement", "failure", "timed_out", "in_doubt", "unknown_database", "too_large",
	"invalid", "unauthorized", "unrecognized",
}

func (c Code) String() string { return codeNames[min(c, Unrecognized)] }

// DecodeCode returns the code with a number that another host has sent. A number of a
// newer version is Unrecognized.
func DecodeCode(n uint32) Code { return Code(min(n, uint32(Unrecognized))) }

// Answer is the result of one statement.
type Answer struct {
	Rows []string
	// Signature identifies the upstream that ran the statement; empty for an answer of
	// the proxy itself.
	Signature string
	Code      Code
	// Detail is a human-readable explanation of the code.
	Detail   string
	State    TxState
	Position logpos.Position
	// Bare is set if the answer has a state and a position only, as that to a login.
	Bare bool
}

// ErrorAnswer returns an answer without rows.
func ErrorAnswer(code Code, detail string, state TxState) Answer {
	return Answer{Code: code, Detail: detail, State: state}
}
