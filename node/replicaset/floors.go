package replicaset

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// floor returns the minimum log position that a read must observe. now is the time
// at which the read is sent; computed at an earlier time, the floor would let the
// answer exceed the staleness bound by the wait in between.
func (s *Set) floor(req Request, now time.Duration) (logpos.Position, bool) {
	if req.Route.Consistency == catalog.Primary {
		return logpos.Position{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.floors.Lookup(now-req.Route.MaxStaleness+stalenessMargin, req.LastCommit)
}

// lowerBound returns a position that is at or below the read's actual floor, even
// if the latest known floor is too old to be used itself. A member that has not
// reached it cannot serve the read.
func (s *Set) lowerBound(req Request) logpos.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest, _, _ := s.floors.Newest()
	if newest.Less(req.LastCommit) {
		return req.LastCommit
	}
	return newest
}

// Floor is a log position that covers every commit acknowledged before AsOf,
// and the leadership under which the primary reported it.
type Floor struct {
	Position   logpos.Position
	AsOf       time.Duration
	Leadership Leadership
	// Mark is how far the primary's log is known to have gone.
	Mark succession.LogMark
}

// Leadership names a group's primary and its term. Primary is empty if unknown.
type Leadership struct {
	Primary string
	Term    logpos.Term
}

// FloorFromAge returns a floor whose age another host reported in response to a
// request sent at sentAt. The age was determined after that time, so AsOf is never
// too late, whatever the latency.
func FloorFromAge(p logpos.Position, leadership Leadership, age, sentAt time.Duration) Floor {
	return Floor{Position: p, AsOf: sentAt - age, Leadership: leadership}
}

// Floor returns the latest known floor.
func (s *Set) Floor() (Floor, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, asOf, found := s.floors.Newest()
	f := Floor{Position: p, AsOf: asOf, Leadership: Leadership{Term: s.floors.Term()}, Mark: s.highWaterMark.Mark()}
	if s.primaryTracker.Term() == f.Leadership.Term {
		f.Leadership.Primary = s.primaryTracker.Confirmed()
	}
	return f, found
}

// ObserveFloor records a floor from another host, and the primary with it.
// While the store is unavailable, a host without connections to members learns
// the primary only this way.
func (s *Set) ObserveFloor(f Floor) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floors.ObserveInTerm(f.Leadership.Term, f.Position, f.AsOf)
	if f.Leadership.Primary != "" {
		s.highWaterMark.Observe(f.Leadership.Primary, f.Leadership.Term, f.Position, clock.Now())
	}
	s.highWaterMark.ObserveMark(f.Mark, clock.Now())
	s.observePeerLeadership(f.Leadership)
	close(s.floorObserved)
	s.floorObserved = make(chan struct{})
}

// Leadership returns the newest confirmed primary and its term; the zero value if no
// primary has been confirmed.
func (s *Set) Leadership() Leadership {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Leadership{Primary: s.primaryTracker.Confirmed(), Term: s.primaryTracker.Term()}
}

// ObserveLeadership records another host's report of the primary.
func (s *Set) ObserveLeadership(l Leadership) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observePeerLeadership(l)
}

// observePeerLeadership records another host's report of the primary. It is
// called with mu held.
func (s *Set) observePeerLeadership(l Leadership) {
	before := s.primaryTracker.Primary()
	if _, known := s.members[l.Primary]; known && !s.highWaterMark.LogLostIn(l.Primary, l.Term) {
		s.primaryTracker.ObservePeerConfirmation(l.Primary, l.Term)
		s.notifyPrimaryChange(before, "peer")
	}
}

// observeRemoteFloor records a floor that came with another host's answer,
// unless it is hardly newer than the one known. Refusals carry floors too: a
// host whose statements are all refused would otherwise have none and send
// every read to the overloaded primary.
func (s *Set) observeRemoteFloor(f Floor) {
	s.ObserveLogMark(f.Mark)
	if f.Position.IsZero() {
		return
	}
	s.mu.Lock()
	_, asOf, found := s.floors.Newest()
	term := s.floors.Term()
	s.mu.Unlock()
	if found && f.Leadership.Term <= term && f.AsOf < asOf+minFloorAdvance {
		return
	}
	s.ObserveFloor(f)
}

// minFloorAdvance is the minimum advance in time for which a floor from an answer
// is recorded. It is small compared with staleness bounds of a second or more.
const minFloorAdvance = 50 * time.Millisecond

// floorRequestInterval is the minimum time between requests to peers for
// floors.
const floorRequestInterval = 50 * time.Millisecond

// requestPeerFloors asks other hosts for a floor, at most once per interval.
// The returned channel is closed when an answer arrives.
func (s *Set) requestPeerFloors(now time.Duration) <-chan struct{} {
	s.mu.Lock()
	due := now-s.floorRequestedAt >= floorRequestInterval
	if due {
		s.floorRequestedAt = now
	}
	observed := s.floorObserved
	s.mu.Unlock()
	if due && s.requestFloor != nil {
		s.requestFloor(s.service)
	}
	return observed
}

// nextFloor returns a channel that is closed when a peer reports a floor.
func (s *Set) nextFloor() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.floorObserved
}
