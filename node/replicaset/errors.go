package replicaset

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/correlate"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
)

// ConnectError reports that a connection could not be opened.
type ConnectError struct {
	Member string
	// Code is set when the member answered and refused the login.
	Code statement.Code
	// Failure is the kind of failure when the member did not answer.
	Failure failureKind
	Err     error
}

func (e *ConnectError) Error() string {
	return fmt.Sprintf("connect to member %s: %v", e.Member, e.Err)
}

func (e *ConnectError) Unwrap() error { return e.Err }

// NoResponseError reports an exchange without a complete answer. The statement
// may have run.
type NoResponseError struct {
	// Member is empty when the exchange took place on another host.
	Member string
	// TimedOut is set for a timeout and unset for a broken connection.
	TimedOut bool
	// NotSent is set if the operation was not sent.
	NotSent bool
	Err     error
}

func (e *NoResponseError) Error() string {
	if e.Member == "" {
		// The message from the other host already names the member.
		return e.Err.Error()
	}
	return fmt.Sprintf("no whole answer from member %s: %v", e.Member, e.Err)
}

func (e *NoResponseError) Unwrap() error { return e.Err }

// AnswerRejectedError reports an answer that may not be that of the operation in progress.
type AnswerRejectedError struct {
	Reason correlate.Reason
	// Err is the violation of the protocol; nil if there is none.
	Err error
}

func (e *AnswerRejectedError) Error() string {
	text := "the answer may not be that of the statement: " + string(e.Reason)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

func (e *AnswerRejectedError) Unwrap() error { return e.Err }

// RefusedError reports a statement that was not sent, for example because no
// connection was free in time or the member is unknown.
type RefusedError struct {
	Reason string
	// RetryAfter is the suggested delay before a retry; zero if there is none.
	RetryAfter time.Duration
	// MemberDead is set when the refusing host considers the member dead.
	MemberDead bool
	// outOfTime is set when the statement waited for a connection until it could no
	// longer be served in time.
	outOfTime bool
}

func (e *RefusedError) Error() string { return e.Reason }

// overloaded reports whether a statement was refused because too many are
// queued. Such a refusal is not retried within the request, because retries
// would load the gates further.
func overloaded(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.RetryAfter > 0
}

// refusedOutright reports whether an error refuses a statement for a reason other
// than overload or a dead member: no floor is known for a read, or the member is
// ejected.
func refusedOutright(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.RetryAfter == 0 && !refused.MemberDead
}

// failureKind classifies a failed exchange with a member.
type failureKind uint8

const (
	// failureBroken is a connection that broke.
	failureBroken failureKind = iota
	// failureRefused is a connection refused by the member's machine.
	failureRefused
	// failureTimeout is an expired deadline.
	failureTimeout
)

func classifyFailure(err error) failureKind {
	switch {
	case isTimeout(err):
		return failureTimeout
	case errors.Is(err, syscall.ECONNREFUSED):
		return failureRefused
	}
	return failureBroken
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
