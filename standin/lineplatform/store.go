package lineplatform

import (
	"slices"
	"strings"
	"sync"
)

// kvItem is the JSON form of one key: an item, a change in the history, a
// precondition or a write of a transaction.
type kvItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	LeaseID  uint64 `json:"lease_id"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// FailureMode is how the store handles calls.
type FailureMode uint8

// The failure modes.
const (
	// Healthy serves all calls.
	Healthy FailureMode = iota
	// Unavailable answers 503.
	Unavailable
	// Unresponsive accepts calls and does not answer.
	Unresponsive
	// DroppingAnswers executes writes and closes their connections without an answer.
	// Reads are served.
	DroppingAnswers
)

// initialEpoch is the epoch of a store that was never restored from a backup.
const initialEpoch = 1

// Store is the key-value store. It is safe for concurrent use.
type Store struct {
	mu sync.Mutex
	// epoch is incremented each time the store is restored from a backup.
	epoch    uint64
	revision uint64
	// compactedRevision is the oldest revision from which history is complete.
	compactedRevision uint64
	items             map[string]kvItem
	history           []kvItem
	leases            map[uint64]*lease
	// changeSignal is closed by the next change that watches are notified of.
	changeSignal chan struct{}
	failureMode  FailureMode
	// watchesBlocked is set while waiting watches are not notified of changes.
	watchesBlocked bool
	closed         chan struct{}
	callCount      int
	// watchCallCount is how many of the calls were to watch.
	watchCallCount int
}

// NewStore returns an empty store. Its API is served by Handler; Start serves it on a
// socket.
func NewStore() *Store {
	return &Store{epoch: initialEpoch, items: map[string]kvItem{}, leases: map[uint64]*lease{}, changeSignal: make(chan struct{}), closed: make(chan struct{})}
}

// Close ends waiting watches and stops the expiry of leases.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.closed)
	for _, l := range s.leases {
		l.timer.Stop()
	}
}

// SetFailureMode sets how the store handles calls from now on.
func (s *Store) SetFailureMode(mode FailureMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failureMode = mode
}

// CallCount returns how many calls the store has received.
func (s *Store) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCount
}

// WatchCallCount returns how many calls to watch the store has received.
func (s *Store) WatchCallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watchCallCount
}

// SetWatchesBlocked stops the store from notifying waiting watches of changes, or
// lets it notify them again.
func (s *Store) SetWatchesBlocked(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchesBlocked = on
}

// Compact drops the history. Watches from an older revision get 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRevision, s.history = s.revision, nil
}

// Put writes a key, as the operator or a member does, and returns the revision.
func (s *Store) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, value, 0)
	s.notifyWatches()
	return s.revision
}

// Delete removes a key, as a stopping member does.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.items[key]; found {
		s.revision++
		s.remove(key)
		s.notifyWatches()
	}
}

// Get returns a key's value and the revision of its last change, or nil and zero if
// the key does not exist.
func (s *Store) Get(key string) ([]byte, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item := s.items[key]
	return item.Value, item.Revision
}

// Keys returns the keys with a prefix, sorted.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// set writes a key in the current revision. The caller holds mu.
func (s *Store) set(key string, value []byte, leaseID uint64) {
	item := kvItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, LeaseID: leaseID}
	if old, found := s.items[key]; found {
		item.Created = old.Created
	}
	s.items[key] = item
	s.history = append(s.history, item)
}

// remove deletes a key in the current revision. The caller holds mu.
func (s *Store) remove(key string) {
	delete(s.items, key)
	s.history = append(s.history, kvItem{Key: key, Revision: s.revision, Deleted: true})
}

// notifyWatches makes waiting watches look for changes. The caller holds mu.
func (s *Store) notifyWatches() {
	if s.watchesBlocked {
		return
	}
	close(s.changeSignal)
	s.changeSignal = make(chan struct{})
}
