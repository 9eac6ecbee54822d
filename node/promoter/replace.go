package promoter

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/feature"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

var (
	errRecovered         = errors.New("the primary is alive again")
	errNewPrimaryNotSeen = errors.New("the promoted member did not become primary in time")
	errNotSteppedDown    = errors.New("the primary did not confirm that it stepped down")
	errNotPrimary        = errors.New("the member is no longer the primary")
	errPrimarySilent     = errors.New("the primary did not report its status")
	errSurveyStale       = errors.New("the members were asked too long ago")
	errLockLost          = errors.New("another host has taken the lock")
	errTooLate           = errors.New("too little time is left for a promotion after the step-down")
	errNoReplicaClose    = errors.New("no healthy replica is close to the primary's log")
)

const (
	// maxSurveyAge is how long after a round of the survey has begun a replica may be
	// promoted, or after its status was asked for a primary may be told to step down. A
	// process that was frozen meanwhile may have been succeeded.
	maxSurveyAge = time.Second
	// newPrimaryTimeout bounds the wait until a promoted member becomes primary, which
	// takes the users' members 300 to 1,000 ms.
	newPrimaryTimeout      = 2500 * time.Millisecond
	newPrimaryPollInterval = 20 * time.Millisecond
	// pollsPerProbe is the number of polls of the local state per probe of the
	// member. Probes are rarer because each occupies a slot of the member.
	pollsPerProbe = 3
)

// replace promotes the replica with the most advanced log in place of a dead
// primary.
func (p *Promoter) replace(ctx context.Context, deadPrimary string, token uint64) error {
	reports, chosen, err := p.survey(ctx, deadPrimary, token)
	if err == nil {
		err = p.checkSurvey(deadPrimary)
	}
	if err == nil {
		err = p.promote(ctx, chosen, token)
	}
	if err != nil {
		p.abandon(ctx, reports, token)
		return err
	}
	p.endedByPromotion()
	return nil
}

// checkSurvey returns an error if a primary is alive again or has been replaced, or if the
// survey of the replicas is so old that another host may have resumed them.
func (p *Promoter) checkSurvey(deadPrimary string) error {
	if clock.Now()-p.surveyedAt > maxSurveyAge {
		return errSurveyStale
	}
	if id, found := p.set.AssumedPrimary(); found && id != deadPrimary {
		return errRecovered
	}
	if m, known := p.set.Member(deadPrimary); known && !m.Dead(clock.Now()) {
		return errRecovered
	}
	return nil
}

// promote requests a promotion and waits until the member is primary.
func (p *Promoter) promote(ctx context.Context, chosen succession.CandidateStatus, token uint64) error {
	if p.lockLost(token) {
		return errLockLost
	}
	started := clock.Now()
	eventlog.PromotionOrdered.Info(p.log).Str("upstream", chosen.ID).Uint64("token", token).Stringer("received", chosen.Status.Received).Send()
	p.set.ExpectPromotion(chosen.ID, chosen.Status.Received)
	if err := p.callPromote(ctx, chosen.ID, token); err != nil {
		return err
	}
	if err := p.awaitNewPrimary(ctx, chosen.ID); err != nil {
		return err
	}
	p.observeNewTerm(ctx, chosen.ID)
	if p.features.Enabled(feature.Announcement) {
		p.peers.Announce(p.service, chosen.ID, p.set.Term())
	}
	eventlog.Promoted.Info(p.log).Str("upstream", chosen.ID).Uint64("token", token).
		Stringer("received", chosen.Status.Received).Dur("took", clock.Now()-started).Send()
	return nil
}

// awaitNewPrimary waits until a promoted member is primary. It also probes the
// member, because the store may be unreachable.
func (p *Promoter) awaitNewPrimary(ctx context.Context, id string) error {
	m, known := p.set.Member(id)
	if !known {
		return fmt.Errorf("%w: %s", errNewPrimaryNotSeen, id)
	}
	started := clock.Now()
	for tick := 0; clock.Now() < started+newPrimaryTimeout && ctx.Err() == nil; tick++ {
		if p.isPrimary(id) {
			return nil
		}
		if tick%pollsPerProbe == 0 {
			p.set.RefreshStatus(ctx, m)
		}
		clock.Sleep(ctx, newPrimaryPollInterval)
	}
	return fmt.Errorf("%w: %s", errNewPrimaryNotSeen, id)
}

// observeNewTerm asks a promoted member for its status if it is known to be primary only
// from its directory entry, which names no term. The announcement then tells other hosts
// how far its log went.
func (p *Promoter) observeNewTerm(ctx context.Context, id string) {
	if m, known := p.set.Member(id); known && p.set.LogMark().Member != id {
		if _, err := p.set.Status(ctx, m); err != nil {
			p.log.Debug().Err(err).Str("upstream", id).Msg("promoted member did not answer")
		}
	}
}

func (p *Promoter) isPrimary(id string) bool {
	primary, found := p.set.AssumedPrimary()
	return found && primary == id
}

const (
	// maxSwitchoverLag is how many log entries a replica may lag behind when the
	// primary is asked to step down.
	maxSwitchoverLag logpos.Offset = 20
	// catchUpTimeout bounds the wait for a replica to come within maxSwitchoverLag.
	catchUpTimeout = 2500 * time.Millisecond
	// fullLogTimeout bounds the wait, after the primary has stepped down, for a
	// replica to receive the complete log.
	fullLogTimeout = 1500 * time.Millisecond
	// healthyLogTimeout is the part of it in which an ejected replica is passed over.
	// Replicas are 30 to 50 ms behind.
	healthyLogTimeout   = 300 * time.Millisecond
	catchUpPollInterval = 30 * time.Millisecond
)

// switchoverDue reports whether the primary is being drained and another member can
// take over.
func (p *Promoter) switchoverDue() bool {
	m, err := p.assumedPrimary()
	if err != nil || !m.Leaving() {
		return false
	}
	for _, other := range p.set.Members() {
		if other.ID() != m.ID() && !other.Leaving() && !other.Failing() {
			return true
		}
	}
	return false
}

// switchOver promotes a replica that has the complete log of a draining primary,
// so that no entry is lost.
func (p *Promoter) switchOver(ctx context.Context, token uint64) error {
	old, err := p.assumedPrimary()
	if err != nil {
		return err
	}
	if _, err := p.awaitCatchUp(ctx, old, func(succession.CandidateStatus) bool { return true }); err != nil {
		return err
	}
	return p.handOver(ctx, old, token)
}

// assumedPrimary returns the member assumed to be the primary.
func (p *Promoter) assumedPrimary() (*replicaset.Member, error) {
	id, found := p.set.AssumedPrimary()
	if !found {
		return nil, errRecovered
	}
	m, known := p.set.Member(id)
	if !known {
		return nil, errRecovered
	}
	return m, nil
}

// handOver makes the primary step down and promotes a replica that has its complete log.
// Without a confirmed step-down nothing is promoted, because the primary may still
// acknowledge writes.
func (p *Promoter) handOver(ctx context.Context, old *replicaset.Member, token uint64) error {
	switch {
	case p.lockLost(token):
		return errLockLost
	case p.surveyedAt > 0 && clock.Now()-p.surveyedAt > maxSurveyAge:
		return errSurveyStale
	}
	token, err := p.fenceBeforeStepDown(ctx, old.ID(), token)
	if err != nil {
		return err
	}
	term := p.set.Term() + 1
	st, err := p.set.SendControl(ctx, old, statement.Operation{Verb: statement.StepDown, Term: term})
	if err != nil {
		return err
	}
	if !succession.StepDownConfirmed(st, term) {
		return errNotSteppedDown
	}
	p.failing.RecordStepDown(clock.Now())
	// Otherwise a promotion of the old primary would pass for completed already.
	p.set.ObserveStepDown(old)
	chosen, complete, err := p.awaitFullLog(ctx, old.ID(), st)
	if err != nil {
		return err
	}
	if id, found := p.set.AssumedPrimary(); found && id != old.ID() {
		// Another host has had a member promoted.
		return errRecovered
	}
	if !complete {
		// The old primary stays primary if no replica has the complete log; a
		// later attempt may find one that has caught up.
		chosen = succession.CandidateStatus{ID: old.ID(), Status: st}
	}
	if err := p.promote(ctx, chosen, token); err != nil {
		return err
	}
	p.endedByPromotion()
	return nil
}

// awaitCatchUp waits until a remaining replica that is accepted is within
// maxSwitchoverLag of the primary, and reports whether there is one. It returns
// errNotPrimary for a member that has stepped down already: the host that ordered it may be
// about to promote a replica, or may have had one promoted.
func (p *Promoter) awaitCatchUp(ctx context.Context, oldPrimary *replicaset.Member, accepted func(succession.CandidateStatus) bool) (bool, error) {
	deadline := clock.Now() + catchUpTimeout
	answered := false
	for clock.Now() < deadline && ctx.Err() == nil {
		p.surveyedAt = clock.Now()
		status, err := p.set.Status(ctx, oldPrimary)
		if err == nil && !status.Primary {
			p.set.ObserveStepDown(oldPrimary)
			return false, errNotPrimary
		}
		if err == nil {
			answered = true
			for _, r := range p.remainingReplicas(ctx, oldPrimary.ID()) {
				if accepted(r) && r.Status.Received.Offset+maxSwitchoverLag >= status.Received.Offset {
					return true, nil
				}
			}
		}
		clock.Sleep(ctx, catchUpPollInterval)
	}
	if !answered {
		return false, errPrimarySilent
	}
	return false, nil
}

// awaitFullLog waits until a remaining replica has received the log of the old primary,
// which has stepped down, up to its end. One that is ejected is chosen only if no other one
// catches up within healthyLogTimeout. It fails if another host has had a member promoted,
// whose writes a second promotion would lose.
func (p *Promoter) awaitFullLog(ctx context.Context, oldPrimary string, old statement.Status) (succession.CandidateStatus, bool, error) {
	started := clock.Now()
	for clock.Now() < started+fullLogTimeout && ctx.Err() == nil {
		replicas := p.remainingReplicas(ctx, oldPrimary)
		for _, r := range replicas {
			if r.Status.Primary && r.Status.Term >= old.Term && !p.set.LogLost(r.ID) {
				return succession.CandidateStatus{}, false, errRecovered
			}
		}
		chosen, found := succession.ChooseComplete(replicas, old.Received)
		if found && (!chosen.Ejected || clock.Now() >= started+healthyLogTimeout) {
			return chosen, true, nil
		}
		time.Sleep(catchUpPollInterval)
	}
	return succession.CandidateStatus{}, false, nil
}

// remainingReplicas returns the status of the replicas that are not draining.
func (p *Promoter) remainingReplicas(ctx context.Context, oldPrimary string) []succession.CandidateStatus {
	var out []succession.CandidateStatus
	for _, r := range p.sendControlToReplicas(ctx, oldPrimary, sameOperation(statement.Operation{Verb: statement.ReportStatus})) {
		if !r.Leaving {
			out = append(out, r)
		}
	}
	return out
}
