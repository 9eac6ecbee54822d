package replicaset

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
	"github.com/dotterelswitch/dotterelswitch/core/correlate"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

const (
	// probeInterval is the interval between probes of suspected members. Each
	// probe briefly occupies a slot of the member.
	probeInterval = 250 * time.Millisecond
	// TickInterval is the interval between calls of Tick.
	TickInterval = time.Second
	// controlTimeout bounds a control operation, including the wait for a
	// connection.
	controlTimeout = 700 * time.Millisecond
	// controlPriority is lower, and so more urgent, than every priority that a
	// route can have.
	controlPriority = -1
)

// Probe runs until the context ends. It asks members for their status while the
// primary is unknown or a member is suspected; otherwise the results of regular
// statements show the members' health.
func (s *Set) Probe(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.probeRequested:
		}
		for s.probeIfNeeded(ctx) && clock.Sleep(ctx, probeInterval) {
		}
	}
}

// Tick closes expired idle connections and triggers probes of suspected
// members. It is called every TickInterval and does not block.
func (s *Set) Tick(now time.Duration) {
	_, known := s.Primary()
	members := s.Members()
	needsProbe := !known && len(members) > 0
	for _, m := range members {
		m.closeExpiredIdle(now)
		if !s.shouldProbe(m) {
			m.expireEvidence(now)
		}
		needsProbe = needsProbe || m.Suspect(now)
	}
	if needsProbe {
		s.requestProbe()
	}
}

// probeIfNeeded probes the suspected members, or all members while no primary is
// known, and reports whether there were any to probe. Without a primary it also
// asks other hosts for their floors, which name the primary.
//
// Only the hosts selected by shouldProbe send probes. A host without connections
// to a member would need a login for each probe, and logins from a large fleet
// would exhaust the member's slots after a failover.
func (s *Set) probeIfNeeded(ctx context.Context) bool {
	now := clock.Now()
	_, known := s.Primary()
	if !known {
		s.requestPeerFloors(now)
	}
	needsProbe := false
	for _, m := range s.Members() {
		// At the address of a member in backoff another member would answer.
		if known && !m.Suspect(now) || m.inWrongMemberBackoff(now) {
			continue
		}
		needsProbe = true
		if s.shouldProbe(m) {
			s.RefreshStatus(ctx, m)
		}
	}
	return needsProbe
}

// shouldProbe reports whether this host probes a member: it is a gate of the
// member, or a voter on the primary's failure.
func (s *Set) shouldProbe(m *Member) bool {
	s.mu.Lock()
	votes := s.isVoter && s.primaryTracker.Primary() == m.id
	s.mu.Unlock()
	return votes || m.IsGate()
}

// RefreshStatus asks a member for its status in the background. The answer
// updates the member's health and the primary tracker.
func (s *Set) RefreshStatus(ctx context.Context, m *Member) {
	go func() {
		// A failure is recorded in the member's health.
		_, _ = s.Status(ctx, m)
	}()
}

// Status asks a member for its status.
func (s *Set) Status(ctx context.Context, m *Member) (statement.Status, error) {
	return s.SendControl(ctx, m, statement.Operation{Verb: statement.ReportStatus})
}

// SendControl sends a control operation to a member and returns the status that
// it answers with. The status of a primary counts once its log has been verified. A member
// that was taken for the primary and is a replica in the newest term has stepped down.
func (s *Set) SendControl(ctx context.Context, m *Member, op statement.Operation) (statement.Status, error) {
	a, err := s.sendControl(ctx, m, op)
	if err == nil && a.status.Primary && s.logVerified(m, a) {
		s.observePrimaryStatus(m, a.status, a.applied, a.sentAt)
	}
	if err == nil && !a.status.Primary && op.Verb == statement.ReportStatus {
		s.observeReplicaStatus(m, a.status)
	}
	return a.status, err
}

// controlAnswer is the answer to a control operation.
type controlAnswer struct {
	status statement.Status
	// applied is the log position that the answer names.
	applied logpos.Position
	// sentAt is when the operation was sent.
	sentAt time.Duration
}

// errMemberBusy is the error of a control operation that the member refused as busy.
var errMemberBusy = &RefusedError{Reason: "the member answered " + statement.Busy.String()}

// logVerified reports whether the log of a member that answers as the primary has been
// verified, and starts to verify it otherwise.
func (s *Set) logVerified(m *Member, a controlAnswer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeExpectedPromotion(m, a.status.Term)
	s.observeLoss(m.id, a.status.Term, a.status.Received, a.sentAt)
	if s.highWaterMark.Standing(m.id, clock.Now()) >= succession.LogTrusted {
		return true
	}
	s.startLogCheck(m)
	return false
}

// sendControl sends a control operation to a member.
func (s *Set) sendControl(ctx context.Context, m *Member, op statement.Operation) (controlAnswer, error) {
	now := clock.Now()
	deadline := now + controlTimeout
	w := connpool.Waiter{AnyTeam: true, Priority: controlPriority, TargetDeadline: now, OnTimeUntil: deadline, StartDeadline: deadline}
	c, err := m.acquireSuitable(ctx, w, (*correlate.Tracker).TellsStatus)
	if err != nil {
		return controlAnswer{}, err
	}
	defer m.release(c)
	sent := clock.Now()
	a, err := c.Do(op, deadline)
	switch {
	case err != nil:
		return controlAnswer{}, err
	case a.Code == statement.Busy:
		return controlAnswer{}, errMemberBusy
	case a.Code != statement.OK:
		return controlAnswer{}, &RefusedError{Reason: "the member answered " + a.Code.String() + " " + a.Detail}
	}
	st, err := s.proto.DecodeStatus(a)
	return controlAnswer{status: st, applied: a.Position, sentAt: sent}, err
}
