package lineplatform

import (
	"maps"
	"time"
)

// Copy is what a store held at one moment.
type Copy struct {
	revision uint64
	items    map[string]kvItem
	leases   map[uint64]time.Duration
}

// Copy returns what the store holds now.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{revision: s.revision, items: maps.Clone(s.items), leases: map[uint64]time.Duration{}}
	for id, l := range s.leases {
		c.leases[id] = l.ttl
	}
	return c
}

// Restore brings the store back as it was at a copy, in the next era. What was
// written since is lost, leases too, and its revisions are given out again. The
// leases of the copy run anew.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
	s.era++
	s.revision, s.compacted = c.revision, c.revision
	s.items, s.history = maps.Clone(c.items), nil
	s.leases = map[uint64]*lease{}
	for id, ttl := range c.leases {
		s.leases[id] = s.startLease(id, ttl)
	}
	s.wake()
}

// Era returns how often the store has come back from a copy, counted from one.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Revision returns the store's revision at the copy.
func (c Copy) Revision() uint64 { return c.revision }
