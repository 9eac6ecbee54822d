// Package store holds the vocabulary of the platform's key-value store: items,
// conditional changes and failures. Adapters speak it; nothing here does I/O.
package store

import "time"

// Item is a key with its value, or the notice that it was deleted.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's version of the last change of this key. In the epoch
	// after a restore it counts as a change of that epoch.
	Revision Revision
	Deleted  bool
}

// Listing is what a range or a watch returned.
type Listing struct {
	Items []Item
	// Revision is the store's version that the listing is complete up to. A
	// watch continues from it.
	Revision Revision
}

// Condition holds while a key was last changed in the given revision; zero
// means that the key does not exist.
type Condition struct {
	Key      string
	Revision Revision
}

// Write sets a key. A lease that is not zero removes the key when it ends.
type Write struct {
	Key   string
	Value []byte
	Lease Lease
}

// Txn is a change that happens whole or not at all.
type Txn struct {
	Conditions []Condition
	Writes     []Write
	Deletes    []string
}

// Holds reports whether a change says in an epoch of the store what it said to its
// author: its conditions and leases are of that epoch.
func (t Txn) Holds(in Epoch) bool {
	for _, c := range t.Conditions {
		if c.Revision != 0 && c.Revision.Epoch() != in {
			return false
		}
	}
	for _, w := range t.Writes {
		if !w.Lease.None() && w.Lease.Epoch != in {
			return false
		}
	}
	return true
}

// Lease names a lease; the zero value is none. The store may grant a number again
// after it has returned from an older copy, so a lease is one of its epoch.
type Lease struct {
	ID    uint64
	Epoch Epoch
}

// None reports whether this is no lease.
func (l Lease) None() bool { return l == Lease{} }

// Grant is a lease and how long it runs from the arrival of the call.
type Grant struct {
	Lease Lease
	TTL   time.Duration
}
