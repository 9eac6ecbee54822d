package directory

import "github.com/dotterelswitch/dotterelswitch/core/store"

// restoredEntry identifies a member's entry that was restored from a backup of the
// store. It distinguishes that entry from later writes of members that do not report a
// start time: their sequence restarts at one with each incarnation, so an entry with a
// lower sequence may be the restored one or a new one.
type restoredEntry struct {
	epoch    store.Epoch
	sequence uint64
	found    bool
}

// outdated reports whether an entry is older than the known one, because it was
// restored from a backup or is a delayed write. It records a restored entry.
func (r *restoredEntry) outdated(known, e Entry) bool {
	if e.Sequence >= known.Sequence || !known.SameIncarnation(e) {
		return false
	}
	if known.StartedAt != 0 && known.StartedAt == e.StartedAt {
		return true
	}
	epoch := e.Revision.Epoch()
	if r.found && r.epoch == epoch {
		return e.Sequence == r.sequence
	}
	if epoch > known.Revision.Epoch() {
		*r = restoredEntry{epoch: epoch, sequence: e.Sequence, found: true}
		return true
	}
	return false
}
