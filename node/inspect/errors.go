package inspect

import "fmt"

// Error says that a host did not describe itself.
type Error struct {
	// Address is the one that was asked.
	Address string
	Err     error
}

func (e *Error) Error() string {
	return fmt.Sprintf("the host at %s did not answer: %v", e.Address, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }
