// Package consul is a client for the platform's key-value store and host list,
// which have the HTTP API of Consul (v1: kv, session, health, agent).
package consul

import (
	"context"
	"time"
)

// Store is a key-value store. Calls fail with a *StoreError while the store is
// unavailable; a write that fails may still have taken effect.
type Store interface {
	// Get returns the value of a key. The index of a missing key is 0.
	Get(ctx context.Context, key string) (Value, error)
	// Watch returns the value once its index is above after or wait has passed.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error)
	// CompareAndSwap writes the key if its index is still the given one; index
	// 0 means that the key must not exist. It reports whether it wrote.
	CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error)
	// Delete removes a key. A missing key is not an error.
	Delete(ctx context.Context, key string) error
}

// Value is a stored value with the modification index of its key.
type Value struct {
	Data  []byte
	Index uint64
}

// StoreError reports a failed call.
type StoreError struct {
	Call string
	Err  error
}

func (e *StoreError) Error() string { return "consul: " + e.Call + ": " + e.Err.Error() }

func (e *StoreError) Unwrap() error { return e.Err }
