package directory

import "github.com/dotterelswitch/dotterelswitch/core/store"

// copied is the entry of a member that the store's copy held after a restore. It
// tells the copy's entry from one that the member has written since, for members
// that do not say when they started: those count from one again in a new life, and
// an entry with a lower count may be of either.
type copied struct {
	epoch    store.Epoch
	sequence uint64
	found    bool
}

// outdated reports whether an entry says less than what is known of a member: it is
// from an older copy of the store, or was written late.
func (c *copied) outdated(known, e Entry) bool {
	if e.Sequence >= known.Sequence || !known.SameLife(e) {
		return false
	}
	if known.StartedAt != 0 && known.StartedAt == e.StartedAt {
		return true
	}
	epoch := e.Revision.Epoch()
	if c.found && c.epoch == epoch {
		return e.Sequence == c.sequence
	}
	if epoch > known.Revision.Epoch() {
		*c = copied{epoch: epoch, sequence: e.Sequence, found: true}
		return true
	}
	return false
}
