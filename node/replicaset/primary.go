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

// notifyPrimaryChange wakes requests that wait for a primary if the primary has
// changed. It is called with mu held.
func (s *Set) notifyPrimaryChange(before, source string) {
	current := s.primaryTracker.Primary()
	if current == before {
		return
	}
	eventlog.PrimaryChanged.Info(s.log).Str("upstream", current).Str("was", before).Str("source", source).
		Uint64("term", uint64(s.primaryTracker.Term())).Send()
	close(s.primaryChanged)
	s.primaryChanged = make(chan struct{})
	if previous, known := s.members[before]; known && current != "" {
		previous.failWaitersOnDemotion()
	}
	if current == "" {
		s.requestProbe()
	}
}

// observeDenial records that a member refused to act as primary.
func (s *Set) observeDenial(m *Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deny(m, "refused as replica")
}

// deny records that a member is not the primary. It is called with mu held.
func (s *Set) deny(m *Member, source string) {
	before := s.primaryTracker.Primary()
	s.primaryTracker.ObserveDenial(m.id)
	s.notifyPrimaryChange(before, source)
}

// observeReplicaStatus records a status in which a member reports itself as a replica. In an
// older term than the newest, it may have been promoted since.
func (s *Set) observeReplicaStatus(m *Member, st statement.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.primaryTracker.Primary() == m.id && st.Term >= s.primaryTracker.Term() {
		s.deny(m, "status of a replica")
	}
}

// ObserveUnreachable records that a member could not be reached. One that claims to be the
// primary gives way to the confirmed primary if that is reachable; it reports whether it
// does.
func (s *Set) ObserveUnreachable(m *Member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.primaryTracker.ClaimantOnly(m.id) {
		return false
	}
	confirmed, known := s.members[s.primaryTracker.Confirmed()]
	if !known || confirmed.unreachable(clock.Now()) {
		return false
	}
	s.primaryTracker.ObserveUnreachableClaimant(m.id)
	s.notifyPrimaryChange(m.id, "claimant not reached")
	return true
}

// ObserveStepDown records that a member has confirmed that it stepped down as the primary.
func (s *Set) ObserveStepDown(m *Member) { s.observeDenial(m) }

// confirmPrimary records that a member has completed an exchange, sent at the given
// time, that only the primary can complete, and the log position it reported. It reports
// false if the position shows that the member has lost part of its log.
func (s *Set) confirmPrimary(m *Member, p logpos.Position, sent time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmPrimaryInTerm(m, s.leadTerm(m, p), p, sent)
}

// leadTerm returns the term led by a member that has just reported position p as a
// primary. It is called with mu held.
func (s *Set) leadTerm(m *Member, p logpos.Position) logpos.Term {
	return max(s.primaryTracker.LeadTerm(m.id, p), s.highWaterMark.TermOf(m.id))
}

// confirmPrimaryInTerm records that a member is confirmed as the primary of a term,
// unless its log position shows that it has lost part of its log, and reports whether it
// does so. It is called with mu held.
func (s *Set) confirmPrimaryInTerm(m *Member, term logpos.Term, p logpos.Position, sent time.Duration) bool {
	before := s.primaryTracker.Primary()
	if s.observeLoss(m.id, term, p, sent) {
		s.deny(m, "lost its log")
		return false
	}
	s.highWaterMark.Observe(m.id, term, p, clock.Now())
	s.floors.ObserveInTerm(term, p, sent)
	if _, known := s.members[m.id]; known {
		s.primaryTracker.ConfirmLeadership(m.id, term)
	}
	s.notifyPrimaryChange(before, "proof")
	return true
}

// observePrimaryStatus records a status in which a member reports itself as
// primary. The position includes all that it has received, also what is not yet
// applied: a lower floor would let a replica serve a read that misses
// acknowledged commits.
func (s *Set) observePrimaryStatus(m *Member, st statement.Status, p logpos.Position, sent time.Duration) {
	if p.Less(st.Received) {
		p = st.Received
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmPrimaryInTerm(m, st.Term, p, sent)
}

// logFirstWrite logs the first write that this host sees acknowledged in a term.
func (s *Set) logFirstWrite(m *Member, p logpos.Position) {
	s.mu.Lock()
	isFirst := p.Term > s.lastWriteTerm
	s.lastWriteTerm = max(s.lastWriteTerm, p.Term)
	s.mu.Unlock()
	if isFirst {
		eventlog.PrimaryFirstWrite.Info(s.log).Str("upstream", m.id).Stringer("position", p).Send()
	}
}

// observeLoss reports whether the position of a primary, in answer to a request sent at the
// given time, shows that it has lost part of its log. It is called with mu held.
func (s *Set) observeLoss(id string, term logpos.Term, p logpos.Position, sent time.Duration) bool {
	known := s.highWaterMark.LogLost(id)
	lost := s.highWaterMark.ObserveLoss(id, term, p, sent)
	if lost && !known {
		s.logLoss(p)
	}
	return lost
}

// logLoss logs that the primary has lost its log and reports position p. It is called with
// mu held.
func (s *Set) logLoss(p logpos.Position) {
	mark := s.highWaterMark.Mark()
	eventlog.PrimaryLogLost.Warn(s.log).Str("upstream", mark.Member).Uint64("term", uint64(mark.Term)).Stringer("position", p).
		Stringer("reached", mark.Position).Send()
}

// LogLost reports whether a member was found to have lost its log as the primary.
func (s *Set) LogLost(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.highWaterMark.LogLost(id)
}

// Primary returns the member assumed to be the primary, if it is usable: reachable
// and not past its drain timeout.
func (s *Set) Primary() (*Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	m, found := s.members[s.primaryTracker.Primary()]
	if found && !s.pastDrain(m.snapshot(), now) && !m.unreachable(now) {
		s.noPrimarySince = 0
		s.recordPrimaryRate(m, now)
		return m, true
	}
	if s.noPrimarySince == 0 {
		s.noPrimarySince = now
	}
	return nil, false
}

// PrimaryGates returns the addresses of the primary's gates other than this host. All of
// the group's writes pass through them, so they know the latest floors.
func (s *Set) PrimaryGates() []string {
	s.mu.Lock()
	m, found := s.members[s.primaryTracker.Primary()]
	s.mu.Unlock()
	if !found {
		return nil
	}
	return m.otherGates(s.host)
}

// pastDrain reports whether a leaving member must get no new work.
func (s *Set) pastDrain(e directory.Member, now time.Duration) bool {
	return e.Leaving && now-e.LeavingSince > s.drainTimeout-drainMargin
}

const (
	// failoverTimeout is how long statements are queued while a group has no
	// primary. It covers failure detection, the takeover delay of the hosts and a
	// promotion of up to a second. Afterwards statements are refused immediately.
	failoverTimeout = 3500 * time.Millisecond
	// primaryPollInterval is how often a waiting statement checks whether the
	// old primary is usable again.
	primaryPollInterval = 50 * time.Millisecond
)

// awaitPrimary waits for a primary for as long as one can be expected. The wait
// is added to the request's OnTimeUntil, so that the request does not count as late
// in the queue for a connection because of the failover. A request that may commit also
// waits while commits are not acknowledged.
func (s *Set) awaitPrimary(ctx context.Context, req *Request, mayCommit bool) (*Member, bool) {
	began := clock.Now()
	for {
		s.mu.Lock()
		changed := s.primaryChanged
		s.mu.Unlock()
		now := clock.Now()
		heldSince, held := s.commitsHeld()
		held = held && mayCommit
		if m, found := s.Primary(); found && !held {
			req.OnTimeUntil = min(req.OnTimeUntil+now-began, req.StartDeadline)
			return m, true
		}
		deadline := s.primaryWaitDeadline(req)
		if held {
			deadline = max(deadline, min(req.StartDeadline, heldSince+failoverTimeout))
		}
		if now >= deadline {
			return nil, false
		}
		timer := time.NewTimer(primaryPollInterval)
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

// primaryWaitDeadline returns when a request is refused if no primary has been
// found.
func (s *Set) primaryWaitDeadline(req *Request) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(req.StartDeadline, s.noPrimarySince+failoverTimeout)
}

// AssumedPrimary returns the member assumed to be the primary, whether or not it is
// usable.
func (s *Set) AssumedPrimary() (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.primaryTracker.Primary()
	return id, id != ""
}

func (s *Set) isAssumedPrimary(m *Member) bool {
	id, found := s.AssumedPrimary()
	return found && id == m.id
}

// Term returns the latest known term.
func (s *Set) Term() logpos.Term {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.primaryTracker.Term(), s.floors.Term())
}
