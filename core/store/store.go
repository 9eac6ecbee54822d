// Package store holds the data types of the platform's key-value store: items,
// transactions, leases and failures. It does no I/O; adapters for the different
// stores use these types.
package store

import "time"

// Item is a key with its value, or a tombstone if the key was deleted.
type Item struct {
	Key   string
	Value []byte
	// Revision is the revision of the last change of this key. After a restore, keys
	// from the backup count as changed in the new epoch.
	Revision Revision
	Deleted  bool
}

// Listing is the result of a range read or a watch.
type Listing struct {
	Items []Item
	// Revision is the revision up to which the listing is complete. A watch
	// continues from it.
	Revision Revision
}

// Condition requires that a key was last changed at the given revision; zero
// requires that the key does not exist.
type Condition struct {
	Key      string
	Revision Revision
}

// Write sets a key. If a lease is given, the key is removed when the lease ends.
type Write struct {
	Key   string
	Value []byte
	Lease Lease
}

// Txn is an atomic conditional change.
type Txn struct {
	Conditions []Condition
	Writes     []Write
	Deletes    []string
}

// ValidIn reports whether the conditions and leases of a transaction belong to the
// given epoch. In another epoch the same numbers may denote other changes and leases.
func (t Txn) ValidIn(epoch Epoch) bool {
	for _, c := range t.Conditions {
		if c.Revision != 0 && c.Revision.Epoch() != epoch {
			return false
		}
	}
	for _, w := range t.Writes {
		if !w.Lease.IsZero() && w.Lease.Epoch != epoch {
			return false
		}
	}
	return true
}

// Lease identifies a lease; the zero value means no lease. The store may reuse an ID
// after a restore, so the epoch is part of the identity.
type Lease struct {
	ID    uint64
	Epoch Epoch
}

func (l Lease) IsZero() bool { return l == Lease{} }

// Grant is a granted lease.
type Grant struct {
	Lease Lease
	// TTL begins when the call arrives at the store.
	TTL time.Duration
}
