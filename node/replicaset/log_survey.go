package replicaset

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// logSurveyGrace is how long the other replicas are waited for once one has answered.
const logSurveyGrace = 150 * time.Millisecond

// surveyLogs asks the primary and the other members for their statuses at the same time.
// The error is the primary's. Members that are dead are not asked.
func (s *Set) surveyLogs(ctx context.Context, primary *Member) (controlAnswer, []succession.CandidateStatus, error) {
	answers := make(chan succession.CandidateStatus)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	now, pending := clock.Now(), 0
	for _, m := range s.Members() {
		if m == primary || m.Dead(now) {
			continue
		}
		pending++
		go func() {
			// A replica that cannot be asked counts as an answer without a log.
			answer := succession.CandidateStatus{}
			if a, err := s.sendControl(ctx, m, statement.Operation{Verb: statement.ReportStatus}); err == nil {
				answer = succession.CandidateStatus{ID: m.id, Leaving: m.Leaving(), Status: a.status}
			}
			select {
			case answers <- answer:
			case <-ctx.Done():
			}
		}()
	}
	a, err := s.sendControl(ctx, primary, statement.Operation{Verb: statement.ReportStatus})
	if err != nil {
		return controlAnswer{}, nil, err
	}
	return a, collectReplicas(ctx, answers, pending), nil
}

// collectReplicas returns the statuses of the replicas, waiting for logSurveyGrace after
// the first one.
func collectReplicas(ctx context.Context, answers <-chan succession.CandidateStatus, pending int) []succession.CandidateStatus {
	var replicas []succession.CandidateStatus
	var graceOver <-chan time.Time
	for ; pending > 0; pending-- {
		select {
		case answer := <-answers:
			if answer.ID == "" {
				continue
			}
			replicas = append(replicas, answer)
			if graceOver == nil {
				graceOver = time.After(logSurveyGrace)
			}
		case <-graceOver:
			return replicas
		case <-ctx.Done():
			return replicas
		}
	}
	return replicas
}
