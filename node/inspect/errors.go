package inspect

import "fmt"

// Error reports a host whose state could not be read.
type Error struct {
	Address string
	Err     error
}

func (e *Error) Error() string {
	return fmt.Sprintf("the host at %s did not answer: %v", e.Address, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }
