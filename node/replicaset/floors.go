package replicaset

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// floor returns the position that a read must find, from what is known now.
// How stale a read may be counts to the moment at which it is sent to a member:
// whoever waits gets an answer that is as young as one that did not.
func (s *Set) floor(w Work, now time.Duration) (logpos.Position, bool) {
	if w.Route.Consistency == catalog.Primary {
		return logpos.Position{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.floors.Lookup(now-w.Route.MaxStaleness+stalenessMargin, w.Committed)
}

// lowerBound returns a position that a read has to find at least, however old
// what is known of the log: a member that lacks it cannot serve the read.
func (s *Set) lowerBound(w Work) logpos.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest, _, _ := s.floors.Newest()
	if newest.Less(w.Committed) {
		return w.Committed
	}
	return newest
}

// Floor is a position that covers every commit that was acknowledged before
// the time Sent, and the member that proved its lead with it.
type Floor struct {
	Position logpos.Position
	Sent     time.Duration
	Lead     Lead
}

// Lead is which member leads a group, and in which term. Primary is empty where
// that is not known.
type Lead struct {
	Primary string
	Term    logpos.Term
}

// HeardFloor returns a floor that another host has told the age of, in answer to
// something asked at the given time. The age was told after that, so the time
// that results is not too late, however long the answer took.
func HeardFloor(p logpos.Position, lead Lead, age, asked time.Duration) Floor {
	return Floor{Position: p, Sent: asked - age, Lead: lead}
}

// Floor returns the newest floor, for a host that asks.
func (s *Set) Floor() (Floor, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, sent, found := s.floors.Newest()
	f := Floor{Position: p, Sent: sent, Lead: Lead{Term: s.floors.Term()}}
	if s.belief.Term() == f.Lead.Term {
		f.Lead.Primary = s.belief.Proven()
	}
	return f, found
}

// LearnFloor takes a floor from another host, and who leads with it: a host
// that asks no member itself has no other way to know while the store is away.
func (s *Set) LearnFloor(f Floor) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floors.ObserveInTerm(f.Lead.Term, f.Position, f.Sent)
	if f.Lead.Primary != "" {
		s.reached.Observe(f.Lead.Primary, f.Lead.Term, f.Position, clock.Now())
	}
	s.told(f.Lead)
	close(s.learned)
	s.learned = make(chan struct{})
}

// TakeLead takes another host's word on who leads.
func (s *Set) TakeLead(l Lead) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told(l)
}

// told takes another host's word on who leads. It is called with mu held.
func (s *Set) told(l Lead) {
	before := s.belief.Primary()
	if _, known := s.members[l.Primary]; known {
		s.belief.ObservePeerProof(l.Primary, l.Term)
		s.notePrimary(before, "peer")
	}
}

// hear takes a floor that came with an answer of another host, unless one that
// is as new is known. Load pattern: a primary has no room, so a host's own
// statements tell it nothing of the log, and without a floor all of its reads
// would go to that primary.
func (s *Set) hear(f Floor) {
	if f.Position.IsZero() {
		return
	}
	s.mu.Lock()
	_, sent, found := s.floors.Newest()
	term := s.floors.Term()
	s.mu.Unlock()
	if found && f.Lead.Term <= term && f.Sent < sent+hearSpacing {
		return
	}
	s.LearnFloor(f)
}

// hearSpacing is how much newer a floor must be to be taken from an answer:
// closer ones hardly move a bound of a second or more.
const hearSpacing = 50 * time.Millisecond

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
