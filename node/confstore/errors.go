package confstore

import "fmt"

// CorruptValueError reports a stored value that cannot be decoded.
type CorruptValueError struct {
	Key string
	Err error
}

func (e *CorruptValueError) Error() string {
	return fmt.Sprintf("configuration key %s is damaged: %v", e.Key, e.Err)
}

func (e *CorruptValueError) Unwrap() error { return e.Err }

// ConflictError reports that a concurrent change to the same item was accepted
// first. The rejected change had no effect. AcceptedID is the ID of the accepted
// change.
type ConflictError struct {
	ChangeID   string
	AcceptedID string
	Version    uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("change %s conflicts with change %s, which was accepted first as version %d; nothing was changed", e.ChangeID, e.AcceptedID, e.Version)
}

// OutcomeUnknownError reports that it could not be determined whether a change
// was accepted. Submitting the same change ID again is safe.
type OutcomeUnknownError struct {
	ChangeID string
	Err      error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("it is not known whether change %s was accepted (%v); submit it again with the same change ID", e.ChangeID, e.Err)
}

func (e *OutcomeUnknownError) Unwrap() error { return e.Err }
