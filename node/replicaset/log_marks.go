package replicaset

import (
	"time"

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

// detectRestart records that the member, which has closed or refused a connection, may have
// restarted since the given time, unless an older connection shows that it runs on.
func (m *Member) detectRestart(since time.Duration) {
	if m.runsSince(since) {
		return
	}
	m.set.mu.Lock()
	defer m.set.mu.Unlock()
	m.set.highWaterMark.ObserveRestart(m.id)
}

// runsSince reports whether the member has kept a connection open that it had accepted by
// the given time, so that it has not restarted since.
func (m *Member) runsSince(at time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.conns {
		if c.openedAt <= at && !c.closed.Load() && (c.inUse || c.alive()) {
			return true
		}
	}
	return false
}
