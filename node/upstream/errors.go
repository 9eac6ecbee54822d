package upstream

import (
	"errors"
	"fmt"
	"syscall"
)

// DialError reports a connection that could not be opened. Nothing was sent.
type DialError struct {
	Member string
	Err    error
}

func (e *DialError) Error() string {
	return fmt.Sprintf("upstream %s: cannot connect: %v", e.Member, e.Err)
}

func (e *DialError) Unwrap() error { return e.Err }

// RunError reports a request whose answer did not arrive in full.
type RunError struct {
	Member string
	// Sent reports whether any byte of the request may have reached the
	// member. When false the request certainly did not run.
	Sent bool
	Err  error
}

func (e *RunError) Error() string {
	return fmt.Sprintf("upstream %s: connection failed (request sent: %t): %v", e.Member, e.Sent, e.Err)
}

func (e *RunError) Unwrap() error { return e.Err }

// ControlError reports a group function that failed.
type ControlError struct {
	Member string
	Call   string
	Err    error
}

func (e *ControlError) Error() string {
	return fmt.Sprintf("upstream %s: %s failed: %v", e.Member, e.Call, e.Err)
}

func (e *ControlError) Unwrap() error { return e.Err }

// TooLargeError reports an answer over the size limit.
type TooLargeError struct {
	Limit int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("answer exceeds the limit of %d bytes", e.Limit)
}

// Refused reports whether err says that nothing listens at the address or that
// the connection was reset, which only a live machine says.
func Refused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}
