// Package store holds the vocabulary of the platform's key-value store: items,
// conditional changes and failures. Adapters speak it; nothing here does I/O.
package store

import "time"

// Item is a key with its value, or the notice that it was deleted.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's version of the last change of this key.
	Revision uint64
	Deleted  bool
}

// Listing is what a range or a watch returned.
type Listing struct {
	Items []Item
	// Revision is the store's version that the listing is complete up to. A
	// watch continues from it.
	Revision uint64
}

// Condition holds while a key was last changed in the given revision; zero
// means that the key does not exist.
type Condition struct {
	Key      string
	Revision uint64
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

// Lease names a lease; zero is none.
type Lease uint64

// Grant is a lease and how long it runs from the arrival of the call.
type Grant struct {
	Lease Lease
	TTL   time.Duration
}
