package confstore

import "fmt"

// DamagedError reports a value of the log that cannot be read.
type DamagedError struct {
	Key string
	Err error
}

func (e *DamagedError) Error() string {
	return fmt.Sprintf("configuration key %s is damaged: %v", e.Key, e.Err)
}

func (e *DamagedError) Unwrap() error { return e.Err }

// ConflictError reports that another operator changed the same item first.
// Nothing of the refused change took effect.
type ConflictError struct {
	ChangeID string
	Winner   string
	Version  uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("change %s conflicts with change %s, which was accepted first as version %d; nothing was changed", e.ChangeID, e.Winner, e.Version)
}

// UnresolvedError reports a change whose fate could not be learned. Submitting
// the same change ID again settles it.
type UnresolvedError struct {
	ChangeID string
	Err      error
}

func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("it is not known whether change %s was accepted (%v); submit it again with the same change ID", e.ChangeID, e.Err)
}

func (e *UnresolvedError) Unwrap() error { return e.Err }
