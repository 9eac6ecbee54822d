package store

import (
	"errors"
	"fmt"
)

// Failure is the reason why a call failed.
type Failure uint8

const (
	// Unanswered means that no complete response arrived: the call may have been
	// executed, or may still be.
	Unanswered Failure = iota
	// Unavailable means that the store refused the call; nothing was changed.
	Unavailable
	// Throttled means that the call exceeded the rate limit; nothing was changed.
	Throttled
	// Conflict means that a condition was not met; nothing was changed.
	Conflict
	// LeaseEnded means that the lease does not exist; nothing was changed.
	LeaseEnded
	// Compacted means that the requested history of a watch has been compacted.
	Compacted
	// NotFound means that the key does not exist.
	NotFound
	// Restored means that the store was restored from a backup after the state that
	// the call was based on was read. A change may have been executed.
	Restored
	// Rejected means that the store rejected the call as invalid.
	Rejected
	// Oversized means that the changes that a watch found are together larger than a
	// response may be.
	Oversized
)

var failureNames = [...]string{"unanswered", "unavailable", "throttled", "conflict", "lease_ended", "compacted", "not_found", "restored", "rejected", "oversized"}

func (f Failure) String() string { return failureNames[f] }

// Error reports a failed call.
type Error struct {
	Call    string
	Failure Failure
	// Current is the state of the conditions' keys; set for Conflict.
	Current []Item
	// Epoch is the store's epoch in its response; set for Restored.
	Epoch Epoch
	// Stage is how far the call got; set for Unanswered.
	Stage Stage
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

// StoreUnreachable reports whether the store did not process the call or did not
// respond, rather than answering with an error about the call itself.
func StoreUnreachable(err error) bool {
	return Is(err, Unanswered) || Is(err, Unavailable) || Is(err, Throttled)
}
