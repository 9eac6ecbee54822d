// Package consultest holds an in-memory fake of the platform's key-value
// service with injected faults.
package consultest

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/dotterelswitch/dotterelswitch/node/consul"
)

// ErrDown is what calls of a faulty store fail with.
var ErrDown = errors.New("the store is down")

// Fault decides the fate of one call: whether it takes effect and whether its
// answer arrives.
type Fault func(call string) (effect, answer bool)

// Memory is the fake. It is safe for concurrent use.
type Memory struct {
	mu      sync.Mutex
	fault   Fault
	index   uint64
	values  map[string]consul.Value
	largest int
}

var _ consul.Store = (*Memory)(nil)

// NewMemory returns an empty store; a nil fault means that none is injected.
func NewMemory(fault Fault) *Memory {
	return &Memory{fault: fault, values: make(map[string]consul.Value)}
}

// SetFault replaces the fault.
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

// Largest returns the size of the largest value ever written, in bytes.
func (m *Memory) Largest() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.largest
}

// do runs f under the lock if the fault lets it take effect.
func (m *Memory) do(call string, f func()) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	effect, answer := true, true
	if m.fault != nil {
		effect, answer = m.fault(call)
	}
	if effect {
		f()
	}
	if !effect || !answer {
		return &consul.StoreError{Call: call, Err: ErrDown}
	}
	return nil
}

// Get implements consul.Store.
func (m *Memory) Get(_ context.Context, key string) (consul.Value, error) {
	var v consul.Value
	err := m.do("get", func() { v = m.values[key] })
	return v, err
}

// Watch implements consul.Store; it returns at once.
func (m *Memory) Watch(ctx context.Context, key string, _ uint64, _ time.Duration) (consul.Value, error) {
	return m.Get(ctx, key)
}

// CompareAndSwap implements consul.Store.
func (m *Memory) CompareAndSwap(_ context.Context, key string, value []byte, index uint64) (bool, error) {
	won := false
	err := m.do("cas", func() {
		if m.values[key].Index != index {
			return
		}
		won = true
		m.index++
		m.largest = max(m.largest, len(value))
		m.values[key] = consul.Value{Data: value, Index: m.index}
	})
	return won, err
}

// Delete implements consul.Store.
func (m *Memory) Delete(_ context.Context, key string) error {
	return m.do("delete", func() { delete(m.values, key) })
}
