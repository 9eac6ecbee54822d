package replicaset

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/statement"
)

// ConnectError is a connection that could not be opened.
type ConnectError struct {
	Member string
	// Code is set when the member answered and refused.
	Code statement.Code
	// Failure tells how it failed when the member did not answer.
	Failure failure
	Err     error
}

func (e *ConnectError) Error() string {
	return fmt.Sprintf("connect to member %s: %v", e.Member, e.Err)
}

func (e *ConnectError) Unwrap() error { return e.Err }

// LostError is an exchange that got no whole answer. The statement may have
// run.
type LostError struct {
	// Member is empty when the exchange was another host's.
	Member string
	// Silent is set when the time ran out, as against a connection that broke.
	Silent bool
	Err    error
}

func (e *LostError) Error() string {
	if e.Member == "" {
		// Another host has told it in full.
		return e.Err.Error()
	}
	return fmt.Sprintf("no whole answer from member %s: %v", e.Member, e.Err)
}

func (e *LostError) Unwrap() error { return e.Err }

// RefusedError is a statement that was not sent: no connection was free in
// time, or the member is not known.
type RefusedError struct {
	Reason string
	// RetryAfter is when it is of use to come back.
	RetryAfter time.Duration
	// Dead tells that the host that refused has found the member dead.
	Dead bool
}

func (e *RefusedError) Error() string { return e.Reason }

// overloaded reports whether a statement was turned away because too many wait.
// Load pattern: a primary is offered more than it can run. The refusal tells
// when it is of use to come back; asked again at once, the hosts that keep the
// primary's connections would spend their processors on refusals.
func overloaded(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.RetryAfter > 0
}

// refusedUnbounded reports whether an error refuses a read because nothing bounds its
// age: neither for want of room nor because the member is dead.
func refusedUnbounded(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.RetryAfter == 0 && !refused.Dead
}

// failure is how an exchange with a member failed.
type failure uint8

const (
	// failureBroken is a connection that broke.
	failureBroken failure = iota
	// failureRefused is a connection that the member's machine refused.
	failureRefused
	// failureSilent is a time that ran out.
	failureSilent
)

func failureOf(err error) failure {
	switch {
	case silent(err):
		return failureSilent
	case errors.Is(err, syscall.ECONNREFUSED):
		return failureRefused
	}
	return failureBroken
}

// silent reports whether an I/O error is a timeout.
func silent(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
