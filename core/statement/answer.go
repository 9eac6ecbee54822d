package statement

import "github.com/dotterelswitch/dotterelswitch/core/logpos"

// TxState is the state of a transaction after an answer.
type TxState uint8

// The states.
const (
	// Idle means that no transaction is open.
	Idle TxState = iota
	// Open means that a transaction is open.
	Open
	// Failed means that a transaction failed and only its end is accepted.
	Failed
)

// Code is the kind of a failure, as callers and upstreams name it.
type Code uint8

// The codes. Busy to UnknownStatement promise that nothing of the attempt is
// kept; the others promise nothing.
const (
	// OK means success.
	OK Code = iota
	// Busy means that there was no room.
	Busy
	// Aborted means that the transaction was rolled back.
	Aborted
	// Behind means that a log lacks the position that was asked for.
	Behind
	// ReadOnlyMember means that the member is not the primary.
	ReadOnlyMember
	// TooManyConnections means that the member's connections are all in use.
	TooManyConnections
	// WrongMember means that another member or service has this address.
	WrongMember
	// UnknownStatement means that the connection lacks the prepared name.
	UnknownStatement
	// Failure means that the statement ran and failed.
	Failure
	// TimedOut means that the statement may have run and took too long.
	TimedOut
	// InDoubt means that it is not known whether a write was kept.
	InDoubt
	// UnknownDatabase means that no route has this name.
	UnknownDatabase
	// TooLarge means that a message is above the size limit.
	TooLarge
	// Invalid means that a message has no meaning where it was sent.
	Invalid
	// Unauthorized means that the caller may not do this.
	Unauthorized
	// Unrecognized is a code that this version does not know.
	Unrecognized
)

var codeNames = [...]string{
	"ok", "busy", "aborted", "behind", "read_only_member", "too_many_connections", "wrong_member",
	"unknown_statement", "failure", "timed_out", "in_doubt", "unknown_database", "too_large",
	"invalid", "unauthorized", "unrecognized",
}

func (c Code) String() string { return codeNames[c] }

// Answer is the outcome of one statement.
type Answer struct {
	Rows []string
	// Signature proves which upstream ran the statement; empty when the
	// system answered by itself.
	Signature string
	Code      Code
	// Detail explains a code to a person.
	Detail   string
	State    TxState
	Position logpos.Position
}

// Refuse returns an answer that is only a code.
func Refuse(code Code, detail string, state TxState) Answer {
	return Answer{Code: code, Detail: detail, State: state}
}
