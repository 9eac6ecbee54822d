package lineplatform

import (
	"maps"
	"time"
)

// Backup is a snapshot of the store's items and leases.
type Backup struct {
	revision uint64
	items    map[string]kvItem
	leases   map[uint64]time.Duration
}

// Backup returns a snapshot of the store.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := Backup{revision: s.revision, items: maps.Clone(s.items), leases: map[uint64]time.Duration{}}
	for id, l := range s.leases {
		b.leases[id] = l.ttl
	}
	return b
}

// Restore resets the store to a backup and starts the next epoch. Later changes and
// leases are lost, and their revisions are assigned again. The leases of the backup
// restart with their full TTL.
func (s *Store) Restore(b Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
	s.epoch++
	s.revision, s.compactedRevision = b.revision, b.revision
	s.items, s.history = maps.Clone(b.items), nil
	s.leases = map[uint64]*lease{}
	for id, ttl := range b.leases {
		s.leases[id] = s.startLease(id, ttl)
	}
	s.notifyWatches()
}

// Epoch returns the store's epoch, which each restore increments.
func (s *Store) Epoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// Revision returns the store's revision at the time of the backup.
func (b Backup) Revision() uint64 { return b.revision }
