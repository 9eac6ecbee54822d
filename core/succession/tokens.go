package succession

import "github.com/dotterelswitch/dotterelswitch/core/store"

// Tokens are the fencing tokens that belong to the holder of a promotion lock alone. The
// lock's revision is one. If the holder has replaced an older lock, all integers between the
// two are too: the store's revisions only grow, so no other host has held or can get a lock
// with such a revision. It is not safe for concurrent use.
//
// A promotion call without an answer may be executed long afterwards, if no newer token has
// been used. Each promotion therefore takes a token that no earlier call has used, as long
// as there is one.
type Tokens struct {
	next, last uint64
}

// Acquired records that this host has taken a lock, which replaced one with a known revision;
// zero if there was none.
func (t *Tokens) Acquired(previous, current store.Revision) {
	known := previous > 0 && previous.Epoch() == current.Epoch()
	unused := uint64(previous) == t.last && t.next <= t.last
	switch {
	case !known:
		// A restored store may have forgotten locks with higher revisions.
		t.next = uint64(current)
	case !unused:
		t.next = uint64(previous) + 1
	}
	t.last = uint64(current)
}

// Take returns a token that was not taken before. It returns false if there is none.
func (t *Tokens) Take() (uint64, bool) {
	if t.Left() == 0 {
		return 0, false
	}
	t.next++
	return t.next - 1, true
}

// Taken returns a token that is not below any that was taken, and below all that are left;
// zero without a lock.
func (t *Tokens) Taken() uint64 {
	if t.next == 0 {
		return 0
	}
	return t.next - 1
}

// Left returns how many tokens have not been taken.
func (t *Tokens) Left() uint64 {
	if t.next == 0 || t.next > t.last {
		return 0
	}
	return t.last - t.next + 1
}
