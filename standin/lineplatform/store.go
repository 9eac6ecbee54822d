package lineplatform

import (
	"slices"
	"strings"
	"sync"
)

// kvItem is one key of the store.
type kvItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease_id"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Outage is how the store fails.
type Outage uint8

// The outages.
const (
	// Up means that the store serves.
	Up Outage = iota
	// Refusing answers 503.
	Refusing
	// Silent accepts calls and does not answer.
	Silent
	// LosingAnswers carries writes out and does not answer.
	LosingAnswers
)

// firstEra is the era of a store that has never lost anything.
const firstEra = 1

// Store is the key-value store. It is safe for concurrent use.
type Store struct {
	mu sync.Mutex
	// era rises by one each time the store comes back from a copy.
	era       uint64
	revision  uint64
	compacted uint64
	items     map[string]kvItem
	history   []kvItem
	leases    map[uint64]*lease
	changed   chan struct{}
	outage    Outage
	// deaf is set while watches that wait hear of no change.
	deaf   bool
	closed chan struct{}
	calls  int
	// watches counts the calls to watch among them.
	watches int
}

func newStore() *Store {
	return &Store{era: firstEra, items: map[string]kvItem{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), closed: make(chan struct{})}
}

func (s *Store) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.closed)
	for _, l := range s.leases {
		l.timer.Stop()
	}
}

// Fail sets how the store fails from now on.
func (s *Store) Fail(o Outage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = o
}

// Calls returns how many calls came.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Watches returns how many calls to watch came.
func (s *Store) Watches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches
}

// Deafen makes watches that wait hear nothing, or hear again.
func (s *Store) Deafen(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf = on
}

// Compact drops the history; watches that need it get 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted, s.history = s.revision, nil
}

// Put writes a key as the operator or a member does.
func (s *Store) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, value, 0)
	s.wake()
	return s.revision
}

// Delete removes a key as a member that leaves does.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.items[key]; found {
		s.revision++
		s.drop(key)
		s.wake()
	}
}

// Get returns a key's value and the revision of its last change; zero for a key
// that does not exist.
func (s *Store) Get(key string) ([]byte, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.items[key]
	return i.Value, i.Revision
}

// Keys returns the keys with a prefix.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, key)
		}
	}
	slices.Sort(out)
	return out
}

// set and drop change a key in the present revision, with mu held.
func (s *Store) set(key string, value []byte, lease uint64) {
	i := kvItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, found := s.items[key]; found {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *Store) drop(key string) {
	delete(s.items, key)
	s.history = append(s.history, kvItem{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) wake() {
	if s.deaf {
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
}
