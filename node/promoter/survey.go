package promoter

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// maxSurveyRounds bounds how often the replicas are queried for one
// promotion.
const maxSurveyRounds = 3

// choose returns the replica to promote among those that have answered.
func (p *Promoter) choose(candidates []succession.CandidateStatus, deadPrimary string, acks succession.AckSurvey) (succession.CandidateStatus, error) {
	group, registered := p.registry.SyncGroup(p.service), p.registeredMembers()
	replicas := group.Replicas(registered, deadPrimary, p.set.LogLost)
	chosen, err := succession.ChooseSynced(candidates, replicas, p.spec().SyncReplicas, acks)
	if err != nil && p.spec().SyncReplicas > 0 {
		err = fmt.Errorf("%w: %d of %d replicas answered, members %v, newest acknowledged commit %s",
			err, len(candidates), replicas, group.With(registered), acks.Newest)
	}
	return chosen, err
}

// surveyAcks asks all hosts what they have acknowledged, if the choice of a primary can
// depend on it. The returned function waits for the answers.
func (p *Promoter) surveyAcks(ctx context.Context, token uint64) func() succession.AckSurvey {
	if p.spec().SyncReplicas == 0 {
		return func() succession.AckSurvey { return succession.AckSurvey{} }
	}
	acks := sync.OnceValue(func() succession.AckSurvey { return p.peers.SurveyAcks(ctx, p.service, token) })
	go acks()
	return acks
}

// survey pauses replication on the replicas and returns their positions, which
// cannot change afterwards, and the one to promote. The first round guesses the term, which
// saves the round trip to ask for it; a further round is needed if the guess was too low.
func (p *Promoter) survey(ctx context.Context, deadPrimary string, token uint64) ([]succession.CandidateStatus, succession.CandidateStatus, error) {
	var candidates []succession.CandidateStatus
	var err error
	acks := p.surveyAcks(ctx, token)
	isPrimary := map[string]bool{}
	newestTerm := p.set.Term()
	for range maxSurveyRounds {
		if p.lockLost(token) {
			return candidates, succession.CandidateStatus{}, errLockLost
		}
		p.surveyedAt = clock.Now()
		term := newestTerm + 1
		answers := p.sendControlToReplicas(ctx, deadPrimary, func(id string) statement.Operation { return pauseOperation(isPrimary[id], term) })
		candidates = nil
		for _, r := range answers {
			newestTerm = max(newestTerm, r.Status.Term)
			if r.Status.Primary && !p.set.LogLost(r.ID) {
				return answers, succession.CandidateStatus{}, errRecovered
			}
			// A member ignores an operation with a term that it already knows.
			stopped := r.Status.PausedTerm >= term || isPrimary[r.ID]
			if stopped && !r.Status.Primary && !p.set.LogLost(r.ID) {
				candidates = append(candidates, r)
			}
			isPrimary[r.ID] = r.Status.Primary
		}
		var chosen succession.CandidateStatus
		if chosen, err = p.choose(candidates, deadPrimary, acks()); err == nil {
			return candidates, chosen, nil
		}
		if ctx.Err() != nil {
			break
		}
		if errors.Is(err, succession.ErrCommitMissing) {
			// Hosts have acknowledged a commit after a replica was paused and before they
			// held theirs. No newer one follows, so the replica may catch up.
			p.resume(ctx, candidates)
			clock.Sleep(ctx, catchUpPollInterval)
		}
	}
	return candidates, succession.CandidateStatus{}, err
}

// pauseOperation returns the operation that stops a member's log from growing. A
// member that has restarted as primary without its log must step down, so that it
// can replicate from a member with a more complete log.
func pauseOperation(isPrimary bool, term logpos.Term) statement.Operation {
	if isPrimary {
		return statement.Operation{Verb: statement.StepDown, Term: term}
	}
	return statement.Operation{Verb: statement.PauseReplication, Term: term}
}

// sameOperation selects the same operation for every member.
func sameOperation(op statement.Operation) func(string) statement.Operation {
	return func(string) statement.Operation { return op }
}

// sendControlToReplicas sends a control operation to all members except the old
// primary and collects the answers.
func (p *Promoter) sendControlToReplicas(ctx context.Context, oldPrimary string, operationFor func(id string) statement.Operation) []succession.CandidateStatus {
	members := p.set.Members()
	results := make(chan controlResult, len(members))
	sent := 0
	for _, m := range members {
		if m.ID() == oldPrimary {
			continue
		}
		sent++
		go func() {
			st, err := p.set.SendControl(ctx, m, operationFor(m.ID()))
			if err != nil {
				eventlog.GroupCommandFailed.Info(p.log).Err(err).Str("upstream", m.ID()).Str("order", "survey").Send()
			}
			now := clock.Now()
			ejected := m.Ejection(now).Active(now)
			results <- controlResult{status: succession.CandidateStatus{ID: m.ID(), Leaving: m.Leaving(), Ejected: ejected, Status: st}, failed: err != nil}
		}()
	}
	return collectStatuses(results, sent, p.spec().SyncReplicas == 0)
}

// resume restarts replication on paused replicas.
func (p *Promoter) resume(ctx context.Context, reports []succession.CandidateStatus) {
	for _, r := range reports {
		if m, known := p.set.Member(r.ID); known {
			if _, err := p.set.SendControl(ctx, m, statement.Operation{Verb: statement.ResumeReplication}); err != nil {
				eventlog.GroupCommandFailed.Warn(p.log).Err(err).Str("upstream", r.ID).Str("order", "resume").Send()
				continue
			}
			eventlog.ReplicaResumed.Info(p.log).Str("upstream", r.ID).Uint64("term", uint64(r.Status.PausedTerm)).Send()
		}
	}
}
