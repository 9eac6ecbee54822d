package replicaset

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// floor returns the position that a read must find, from what is known now.
func (s *Set) floor(w Work, now time.Duration) (logpos.Position, bool) {
	if w.Route.Consistency == catalog.Primary {
		return logpos.Position{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.floors.Lookup(now-w.Route.MaxStaleness+stalenessMargin, w.Committed)
}

// Floor returns the newest position that is known to cover every commit
// acknowledged before a time, for a host that asks.
func (s *Set) Floor() (logpos.Position, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.floors.Newest()
}

// LearnFloor takes a floor from another host.
func (s *Set) LearnFloor(p logpos.Position, sent time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floors.Observe(p, sent)
	close(s.learned)
	s.learned = make(chan struct{})
}

// askInterval spaces the questions to peers about one service.
const askInterval = 50 * time.Millisecond

// askPeers asks other hosts for a floor, unless they were just asked. It
// returns a channel that is closed when one has answered.
func (s *Set) askPeers(now time.Duration) <-chan struct{} {
	s.mu.Lock()
	due := now-s.askedAt >= askInterval
	if due {
		s.askedAt = now
	}
	learned := s.learned
	s.mu.Unlock()
	if due && s.ask != nil {
		s.ask(s.service)
	}
	return learned
}
