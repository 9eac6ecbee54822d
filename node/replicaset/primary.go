package replicaset

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/directory"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// notePrimary wakes those that wait for a primary when it has changed. It is
// called with mu held.
func (s *Set) notePrimary(before, source string) {
	now := s.belief.Primary()
	if now == before {
		return
	}
	eventlog.PrimaryChanged.Info(s.log).Str("upstream", now).Str("was", before).Str("source", source).
		Uint64("term", uint64(s.belief.Term())).Send()
	close(s.changed)
	s.changed = make(chan struct{})
	if old, known := s.members[before]; known && now != "" {
		old.superseded()
	}
	if now == "" {
		s.wake()
	}
}

// denied notes that a member refused to act as primary.
func (s *Set) denied(m *Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.belief.Primary()
	s.belief.ObserveDenial(m.id)
	s.notePrimary(before, "refused as replica")
}

// proved notes an exchange, sent at the given time, that only the primary can
// have, and the position that it reported.
func (s *Set) proved(m *Member, p logpos.Position, sent time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.provedIn(m, s.belief.LeadTerm(m.id, p), p, sent)
}

// provedIn notes that a member has proved its lead in a term. It is called with
// mu held.
func (s *Set) provedIn(m *Member, term logpos.Term, p logpos.Position, sent time.Duration) {
	before := s.belief.Primary()
	if s.reached.Regressed(m.id, term, p, sent) {
		s.belief.ObserveDenial(m.id)
		s.notePrimary(before, "lost its log")
		return
	}
	s.reached.Observe(m.id, term, p, clock.Now())
	s.floors.ObserveInTerm(term, p, sent)
	if _, known := s.members[m.id]; known {
		s.belief.ObserveProof(m.id, term)
	}
	s.notePrimary(before, "proof")
}

// saysToLead notes a status in which a member calls itself the primary of its
// term. What it has received counts, applied or not: a member that has just been
// promoted leads with all of it, and a floor below would let a replica serve a
// read without commits that were acknowledged.
func (s *Set) saysToLead(m *Member, st statement.Status, p logpos.Position, sent time.Duration) {
	if p.Less(st.Received) {
		p = st.Received
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.provedIn(m, st.Term, p, sent)
}

// noteWrite logs the first write that was acknowledged in a term.
func (s *Set) noteWrite(m *Member, p logpos.Position) {
	s.mu.Lock()
	first := p.Term > s.wroteIn
	s.wroteIn = max(s.wroteIn, p.Term)
	s.mu.Unlock()
	if first {
		eventlog.FirstWrite.Info(s.log).Str("upstream", m.id).Stringer("position", p).Send()
	}
}

// forgot reports whether a position, in answer to something sent at the given
// time, shows that a primary has lost a part of its log.
func (s *Set) forgot(m *Member, p logpos.Position, sent time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reached.Regressed(m.id, s.belief.LeadTerm(m.id, p), p, sent)
}

// LostLog reports whether what a member says of itself as a primary shows that it
// has less of its log than it had.
func (s *Set) LostLog(id string, st statement.Status) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reached.Regressed(id, st.Term, st.Received, clock.Now())
}

// Primary returns the member believed to be the primary, if it may be used: it
// is not past its leave, and this host has not found it dead.
func (s *Set) Primary() (*Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	m, found := s.members[s.belief.Primary()]
	if found && !s.pastDrain(m.snapshot(), now) && !m.unusable(now) {
		s.leaderlessSince = 0
		return m, true
	}
	if s.leaderlessSince == 0 {
		s.leaderlessSince = now
	}
	return nil, false
}

// KnowingHosts returns the addresses of the hosts that carry this host's
// statements to the primary. All of the group's writes pass through them, so they
// know the newest floors; none where this host is one of them.
func (s *Set) KnowingHosts() []string {
	s.mu.Lock()
	m, found := s.members[s.belief.Primary()]
	s.mu.Unlock()
	if !found {
		return nil
	}
	return m.gateAddresses()
}

// pastDrain reports whether a leaving member must get no new work any more.
func (s *Set) pastDrain(e directory.Member, now time.Duration) bool {
	return e.Leaving && now-e.LeavingSince > s.drain-leaveMargin
}

const (
	// failoverTime is how long a group may be without a primary while one is
	// still expected soon: the silence that counts as death, the hosts' turns,
	// and a promotion of up to a second. After it statements are refused at once.
	failoverTime = 3500 * time.Millisecond
	// leaderPoll is how often a statement that waits for a primary looks whether
	// the old one answers again.
	leaderPoll = 50 * time.Millisecond
)

// awaitPrimary waits until a primary is known, as long as one can be expected.
// A statement that waited for one is served in its turn for as long as it would
// have been without.
func (s *Set) awaitPrimary(ctx context.Context, w *Work) (*Member, bool) {
	began := clock.Now()
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		now := clock.Now()
		if m, found := s.Primary(); found {
			w.FreshBy = min(w.FreshBy+now-began, w.StartBy)
			return m, true
		}
		if now >= s.holdUntil(w) {
			return nil, false
		}
		timer := time.NewTimer(leaderPoll)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, false
		}
		timer.Stop()
	}
}

// holdUntil returns when a statement is refused unless a primary is found.
func (s *Set) holdUntil(w *Work) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(w.StartBy, s.leaderlessSince+failoverTime)
}

// Believed returns the member that is taken for the primary, whether or not it
// may still be used.
func (s *Set) Believed() (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.belief.Primary()
	return id, id != ""
}

// leads reports whether a member is taken for the primary.
func (s *Set) leads(m *Member) bool {
	id, found := s.Believed()
	return found && id == m.id
}

// Term returns the newest term that is known.
func (s *Set) Term() logpos.Term {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.belief.Term(), s.floors.Term())
}
