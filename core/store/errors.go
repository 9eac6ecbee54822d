package store

import (
	"errors"
	"fmt"
)

// Failure says why a call did not succeed.
type Failure uint8

// The failures.
const (
	// Unanswered means that no whole answer came: the call may have been
	// carried out, or may be later.
	Unanswered Failure = iota
	// Unavailable means that the store refused; nothing was done.
	Unavailable
	// Throttled means that the call was above the rate; nothing was done.
	Throttled
	// Conflict means that a condition did not hold; nothing was done.
	Conflict
	// LeaseEnded means that there is no such lease; nothing was done.
	LeaseEnded
	// Compacted means that the history that a watch asked for is gone.
	Compacted
	// NotFound means that the key does not exist.
	NotFound
	// Restored means that the store has returned from an older copy since the caller
	// last heard of it: what the call was based on may not hold there. A change may
	// have been carried out.
	Restored
	// Rejected means that the store did not accept the call as it was.
	Rejected
)

var failureNames = [...]string{"unanswered", "unavailable", "throttled", "conflict", "lease_ended", "compacted", "not_found", "restored", "rejected"}

func (f Failure) String() string { return failureNames[f] }

// Error is a call that did not succeed.
type Error struct {
	Call    string
	Failure Failure
	// Current is the state of the conditions' keys after a Conflict.
	Current []Item
	// Epoch is the store's at its answer, after a Restored.
	Epoch Epoch
	Err   error
}

func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("store: %s: %s", e.Call, e.Failure)
	}
	return fmt.Sprintf("store: %s: %s: %v", e.Call, e.Failure, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }

// Is reports whether err is a store error of the given failure.
func Is(err error, f Failure) bool {
	var e *Error
	return errors.As(err, &e) && e.Failure == f
}

// Away reports whether err says that the store itself could not be used, as
// against an answer that it gave.
func Away(err error) bool {
	return Is(err, Unanswered) || Is(err, Unavailable) || Is(err, Throttled)
}
