package store

import "errors"

// Mismatch is the reason why an answer cannot be that of the call in progress. Its text is
// part of the log format.
type Mismatch string

const (
	// RevisionMissing: the answer has no revision.
	RevisionMissing Mismatch = "revision_missing"
	// RevisionTooOld: the answer is of before the revision that the call names.
	RevisionTooOld Mismatch = "revision_too_old"
	// OtherKey: the answer has a key that the call does not concern.
	OtherKey Mismatch = "other_key"
	// OtherPage: the page has keys of an earlier page.
	OtherPage Mismatch = "other_page"
	// LeaseMissing: the answer has no lease, or none of any length.
	LeaseMissing Mismatch = "lease_missing"
)

// MismatchError reports an answer that cannot be that of the call, which may have been
// executed.
type MismatchError struct{ Mismatch Mismatch }

func (e *MismatchError) Error() string {
	return "the answer is not that of the call: " + string(e.Mismatch)
}

// IsMismatch reports whether a call has failed because its answer was not its own.
func IsMismatch(err error) bool {
	var e *MismatchError
	return errors.As(err, &e)
}
