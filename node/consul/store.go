// Package consul speaks to the platform's key-value service and its list of
// hosts, by the published HTTP API of Consul (v1: kv, session, health, agent).
package consul

import (
	"context"
	"time"
)

// Store is what the system needs of the key-value service. Calls fail with a
// *StoreError while the service is out; a write that fails may have taken
// effect all the same.
type Store interface {
	// Get returns the value of a key. A missing key has index zero.
	Get(ctx context.Context, key string) (Value, error)
	// Watch waits until the key is past an index or the wait is over.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error)
	// CompareAndSwap writes the key if it is still at an index; zero means
	// that the key must not exist.
	CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error)
	// Delete removes a key; a missing key is no error.
	Delete(ctx context.Context, key string) error
}

// Value is a stored value and the index of its last change.
type Value struct {
	Data  []byte
	Index uint64
}

// StoreError reports a call that failed.
type StoreError struct {
	Call string
	Err  error
}

func (e *StoreError) Error() string { return "consul: " + e.Call + ": " + e.Err.Error() }

func (e *StoreError) Unwrap() error { return e.Err }
