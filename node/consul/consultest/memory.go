// Package consultest provides an in-memory fake of the platform's key-value
// store with fault injection.
package consultest

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/dotterelswitch/dotterelswitch/node/consul"
)

// ErrUnavailable is the cause of every injected failure.
var ErrUnavailable = errors.New("store unavailable (injected fault)")

// Fault decides whether a call takes effect and whether its answer arrives. An
// answer is never delivered for a call without effect.
type Fault func(call string) (effect, answer bool)

// Memory is an in-memory consul.Store. It is safe for concurrent use.
type Memory struct {
	mu        sync.Mutex
	fault     Fault
	lastIndex uint64
	values    map[string]consul.Value
	largest   int
}

var _ consul.Store = (*Memory)(nil)

// NewMemory returns an empty store. A nil fault injects no failures.
func NewMemory(fault Fault) *Memory {
	return &Memory{fault: fault, values: make(map[string]consul.Value)}
}

// SetFault replaces the injected fault; nil removes it.
func (m *Memory) SetFault(f Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
}

// Len returns the number of keys.
func (m *Memory) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.values)
}

// LargestValue returns the size of the largest value ever written, in bytes.
func (m *Memory) LargestValue() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.largest
}

// call runs f under the lock unless the fault suppresses its effect.
func (m *Memory) call(call string, f func()) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	applied, answered := true, true
	if m.fault != nil {
		applied, answered = m.fault(call)
	}
	if applied {
		f()
	}
	if !applied || !answered {
		return &consul.StoreError{Call: call, Err: ErrUnavailable}
	}
	return nil
}

// Get implements consul.Store.
func (m *Memory) Get(_ context.Context, key string) (consul.Value, error) {
	var v consul.Value
	err := m.call("get", func() { v = m.values[key] })
	return v, err
}

// Watch implements consul.Store. It returns without waiting.
func (m *Memory) Watch(ctx context.Context, key string, _ uint64, _ time.Duration) (consul.Value, error) {
	return m.Get(ctx, key)
}

// CompareAndSwap implements consul.Store.
func (m *Memory) CompareAndSwap(_ context.Context, key string, value []byte, index uint64) (bool, error) {
	swapped := false
	err := m.call("cas", func() {
		if m.values[key].Index != index {
			return
		}
		swapped = true
		m.lastIndex++
		m.largest = max(m.largest, len(value))
		m.values[key] = consul.Value{Data: value, Index: m.lastIndex}
	})
	return swapped, err
}

// Delete implements consul.Store.
func (m *Memory) Delete(_ context.Context, key string) error {
	return m.call("delete", func() { delete(m.values, key) })
}
