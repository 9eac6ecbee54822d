package replicaset

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

const (
	// peerMarkWait is how long other hosts are waited for before the members are asked. It
	// covers a round trip within a region.
	peerMarkWait = 15 * time.Millisecond
	// surveyStagger is added for each gate of the primary that precedes this host, so that
	// gates that start together learn from the first one instead of logging in to all
	// members.
	surveyStagger = 20 * time.Millisecond
	// maxSurveyRank is the rank from which on gates wait no longer than those before.
	maxSurveyRank = 3
	// logRoundInterval separates the rounds of a comparison.
	logRoundInterval = 25 * time.Millisecond
	// logCheckTimeout bounds a comparison that stays undecided. It exceeds
	// succession.RollbackTimeout by the last round.
	logCheckTimeout = succession.RollbackTimeout + controlTimeout
	// logTrustPeriod is how long a primary is trusted whose log nobody can vouch for,
	// before its replicas are asked again.
	logTrustPeriod = 2 * time.Second
)

// errLogUnverified refuses a statement while it is not known whether the primary has its log.
var errLogUnverified = &RefusedError{Reason: "the primary's log is being compared with its replicas'", RetryAfter: defaultRetryAfter}

// ensureLogVerified waits until the log of a member that is to act as the primary has been
// compared with the replicas', if it has not been yet. It waits no longer than the
// statement may.
func (s *Set) ensureLogVerified(ctx context.Context, m *Member, startDeadline time.Duration) error {
	standing := s.logStanding(m)
	if standing == succession.LogVouched || standing == succession.LogTrusted {
		return nil
	}
	check := s.startLogCheck(m)
	if standing == succession.LogTrustEnded {
		return nil
	}
	timer := time.NewTimer(startDeadline - clock.Now())
	defer timer.Stop()
	select {
	case result := <-check:
		return result.Err
	case <-timer.C:
	case <-ctx.Done():
	}
	return errLogUnverified
}

// logUsable reports whether the log of a member has been verified, or is trusted because
// nobody could tell.
func (s *Set) logUsable(m *Member) bool { return s.logStanding(m) != succession.LogUnknown }

// logStanding returns how far a member can be relied on as the primary.
func (s *Set) logStanding(m *Member) succession.LogStanding {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.highWaterMark.Standing(m.id, clock.Now())
}

// startLogCheck returns the result of the comparison in progress for a member, starting one
// if there is none. Its error is that of runLogCheck.
func (s *Set) startLogCheck(m *Member) <-chan singleflight.Result {
	return s.logChecks.DoChan(m.id, func() (any, error) { return nil, s.runLogCheck(m) })
}

// runLogCheck asks other hosts how far the primary's log went, and the members if none
// can tell. A host that pools connections to the members asks both at once: it opens the
// connections anyway. The error is why the primary cannot be used; nil if it can, or if it
// is known to be without its log.
func (s *Set) runLogCheck(m *Member) error {
	ctx, cancel := context.WithTimeout(context.Background(), logCheckTimeout)
	defer cancel()
	survey := s.newSurvey(m)
	if s.poolsAllMembers() {
		s.requestPeerFloors(clock.Now())
	} else {
		s.awaitPeerMark(ctx, m)
	}
	for {
		round := survey
		if s.vouchedByPeer(m) {
			round = func(ctx context.Context) (bool, error) { return s.compareWithMark(ctx, m) }
		}
		decided, err := round(ctx)
		if decided || err != nil && !errors.Is(err, errMemberBusy) {
			return err
		}
		if !clock.Sleep(ctx, logRoundInterval) {
			return errLogUnverified
		}
	}
}

// compareWithMark asks the primary for its status, which is compared with the mark of
// another host. It reports whether the primary answered.
func (s *Set) compareWithMark(ctx context.Context, m *Member) (bool, error) {
	began := clock.Now()
	if _, err := s.Status(ctx, m); err != nil {
		return false, err
	}
	s.logVerification(m, "host", 0, began)
	return true, nil
}

// newSurvey returns a function that runs one round of comparing the primary's log with the
// replicas', and reports whether it was decided.
func (s *Set) newSurvey(m *Member) func(context.Context) (bool, error) {
	var check succession.LogCheck
	began := clock.Now()
	return func(ctx context.Context) (bool, error) {
		primary, replicas, err := s.surveyLogs(ctx, m)
		switch {
		case err != nil:
			return false, err
		case !primary.status.Primary:
			s.observeDenial(m)
			return true, nil
		}
		verdict := check.Observe(primary.status, replicas, clock.Now())
		switch {
		case verdict == succession.LogUndecided:
			return false, nil
		case verdict == succession.LogUnbounded && s.vouchedByPeer(m):
			return s.compareWithMark(ctx, m)
		case verdict == succession.LogUnbounded:
			s.trustLog(m, primary)
		default:
			s.recordLogVerdict(m, primary, check.Reached(primary.status, verdict), verdict)
			s.logVerification(m, "replicas", len(replicas), began)
		}
		return true, nil
	}
}

// vouchedByPeer reports whether another host has told how far the log of a member that is
// being compared went.
func (s *Set) vouchedByPeer(m *Member) bool { return s.logStanding(m) == succession.LogVouched }

// poolsAllMembers reports whether this host is a gate of all members.
func (s *Set) poolsAllMembers() bool {
	for _, m := range s.Members() {
		if !m.IsGate() {
			return false
		}
	}
	return true
}

// awaitPeerMark asks other hosts how far a primary's log went, and waits briefly for an
// answer. After a restart of the member only its replicas can tell.
func (s *Set) awaitPeerMark(ctx context.Context, m *Member) {
	until := clock.Now() + peerMarkWait + surveyStagger*time.Duration(min(m.gateRank(s.host), maxSurveyRank))
	for {
		s.mu.Lock()
		restarted := s.highWaterMark.Restarted(m.id)
		s.mu.Unlock()
		now := clock.Now()
		if restarted || s.vouchedByPeer(m) || now >= until {
			return
		}
		observed := s.requestPeerFloors(now)
		timer := time.NewTimer(min(until-now, floorRequestInterval))
		select {
		case <-observed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// trustLog records that no other host and no replica that knows the primary's term can tell
// how far its log went. It serves: a zone that is cut off goes on with what it has.
func (s *Set) trustLog(m *Member, a controlAnswer) {
	st := a.status
	s.mu.Lock()
	s.confirmPrimaryInTerm(m, st.Term, st.Received, a.sentAt)
	s.highWaterMark.Trust(m.id, clock.Now()+logTrustPeriod)
	s.mu.Unlock()
	eventlog.PrimaryLogUnverified.Info(m.log).Uint64("term", uint64(st.Term)).Stringer("position", st.Received).Send()
}

// recordLogVerdict records a comparison of the primary's log with the replicas', in which
// it was found to have reached a position.
func (s *Set) recordLogVerdict(m *Member, a controlAnswer, reached logpos.Position, verdict succession.LogVerdict) {
	st := a.status
	s.mu.Lock()
	defer s.mu.Unlock()
	mark := succession.LogMark{Member: m.id, Term: st.Term, Position: reached, Lost: verdict == succession.LogLost}
	s.highWaterMark.Vouch(mark, clock.Now())
	if mark.Lost {
		s.logLoss(st.Received)
	}
	s.confirmPrimaryInTerm(m, st.Term, st.Received, a.sentAt)
}

// logVerification logs the result of a comparison, with other hosts or replicas as source.
func (s *Set) logVerification(m *Member, source string, replicas int, began time.Duration) {
	s.mu.Lock()
	mark := s.highWaterMark.Mark()
	s.mu.Unlock()
	eventlog.PrimaryLogVerified.Info(m.log).Uint64("term", uint64(mark.Term)).Stringer("position", mark.Position).Bool("lost", mark.Lost).
		Str("source", source).Int("replicas", replicas).Dur("took_ms", clock.Now()-began).Send()
}
