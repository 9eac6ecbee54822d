package store

import "fmt"

// Revision is a position in the store's history: the store's epoch, and the number
// of the change within it. A restore from a backup increments the epoch and may reuse
// numbers. Revisions compare as integers: every revision of a later epoch is greater
// than all of an earlier one, and zero is before every revision.
type Revision uint64

const (
	// numberBits is the number of low bits that hold the change number. The high bits
	// hold the epoch. They last for 29 years of 1,200 changes a second.
	numberBits = 40
	maxNumber  = 1<<numberBits - 1
	maxEpoch   = 1<<(64-numberBits) - 1
)

// Epoch counts the restores of the store from a backup. A store that does not report
// its epoch is in epoch zero.
type Epoch uint64

// RangeError reports an epoch or a number that does not fit into a Revision.
type RangeError struct {
	Epoch  Epoch
	Number uint64
}

func (e *RangeError) Error() string {
	return fmt.Sprintf("revision %d of epoch %d is out of range", e.Number, e.Epoch)
}

// NewRevision returns the revision with an epoch and a number. The error is a
// *RangeError.
func NewRevision(epoch Epoch, number uint64) (Revision, error) {
	if epoch > maxEpoch || number > maxNumber {
		return 0, &RangeError{Epoch: epoch, Number: number}
	}
	return Revision(uint64(epoch)<<numberBits | number), nil
}

func (r Revision) Epoch() Epoch { return Epoch(r >> numberBits) }

// Number returns the number that the store itself gave to the change.
func (r Revision) Number() uint64 { return uint64(r) & maxNumber }

// String returns EPOCH.NUMBER.
func (r Revision) String() string { return fmt.Sprintf("%d.%d", r.Epoch(), r.Number()) }
