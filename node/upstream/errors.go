package upstream

import (
	"errors"
	"fmt"
	"syscall"

	"github.com/dotterelswitch/dotterelswitch/core/pgcorrelate"
)

// DialError is a failure to open a connection. Nothing was sent.
type DialError struct {
	Member string
	Err    error
}

func (e *DialError) Error() string {
	return fmt.Sprintf("upstream %s: cannot connect: %v", e.Member, e.Err)
}

func (e *DialError) Unwrap() error { return e.Err }

// RunError reports a request whose answer was not read in full.
type RunError struct {
	Member string
	// MayHaveRun is set if any byte of the request may have reached the member.
	MayHaveRun bool
	Err        error
}

func (e *RunError) Error() string {
	return fmt.Sprintf("upstream %s: connection failed (request sent: %t): %v", e.Member, e.MayHaveRun, e.Err)
}

func (e *RunError) Unwrap() error { return e.Err }

// ControlError is the failure of a group function.
type ControlError struct {
	Member string
	Call   string
	Err    error
}

func (e *ControlError) Error() string {
	return fmt.Sprintf("upstream %s: %s failed: %v", e.Member, e.Call, e.Err)
}

func (e *ControlError) Unwrap() error { return e.Err }

// TooLargeError reports an answer that exceeds the size limit.
type TooLargeError struct {
	Limit int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("answer exceeds the limit of %d bytes", e.Limit)
}

// AnswerRejectedError reports answers of which none is known to be that to the request.
type AnswerRejectedError struct {
	Reason pgcorrelate.Reason
}

func (e *AnswerRejectedError) Error() string {
	return fmt.Sprintf("the answer was rejected: %s", e.Reason)
}

// RefusedOrReset reports whether err is a refused or reset connection. Either
// shows that the remote machine is up.
func RefusedOrReset(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}
