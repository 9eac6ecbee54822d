package store

import "fmt"

// Revision is a position in the store's history: the store's epoch, and its count
// of changes within it. The epoch rises by one each time the store returns from an
// older copy of itself and gives out lower counts again. Any position of a later
// epoch is after all of an earlier one, so that positions of different epochs, from
// different hosts, compare as numbers. Zero is before every position.
type Revision uint64

const (
	// numberBits is how much of a revision counts changes: 29 years of 1,200 a
	// second. The rest is for epochs.
	numberBits = 40
	maxNumber  = 1<<numberBits - 1
	maxEpoch   = 1<<(64-numberBits) - 1
)

// Epoch counts how often the store has returned from an older copy. A store that
// does not tell is in epoch zero.
type Epoch uint64

// RangeError is an epoch or a number that a Revision cannot hold.
type RangeError struct {
	Epoch  Epoch
	Number uint64
}

func (e *RangeError) Error() string {
	return fmt.Sprintf("revision %d of epoch %d is out of range", e.Number, e.Epoch)
}

// NewRevision returns the position of a change by its epoch and number. An error is
// a *RangeError.
func NewRevision(epoch Epoch, number uint64) (Revision, error) {
	if epoch > maxEpoch || number > maxNumber {
		return 0, &RangeError{Epoch: epoch, Number: number}
	}
	return Revision(uint64(epoch)<<numberBits | number), nil
}

// Epoch returns the epoch of a position.
func (r Revision) Epoch() Epoch { return Epoch(r >> numberBits) }

// Number returns the store's own number of a position.
func (r Revision) Number() uint64 { return uint64(r) & maxNumber }

// String returns the epoch and the number.
func (r Revision) String() string { return fmt.Sprintf("%d.%d", r.Epoch(), r.Number()) }
