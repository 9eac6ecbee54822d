package replicaset

import (
	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// LogMark returns how far the primary's log is known to have gone; the zero value if
// nobody has vouched for it.
func (s *Set) LogMark() succession.LogMark {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.highWaterMark.Mark()
}

// ObserveLogMark records how far another host knows a primary's log to have gone.
func (s *Set) ObserveLogMark(mark succession.LogMark) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.highWaterMark.ObserveMark(mark, clock.Now())
}

// LossReported reports whether another host has found that a member has lost its log as
// the primary, and the member has not answered this host since.
func (s *Set) LossReported(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.highWaterMark.LossReported(id)
}

// observeRestart records that a member may have restarted.
func (s *Set) observeRestart(m *Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.highWaterMark.ObserveRestart(m.id)
}
