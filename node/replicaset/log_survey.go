package replicaset

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

const (
	// logSurveyGrace is how long the other replicas are waited for once one has answered.
	logSurveyGrace = 150 * time.Millisecond
	// confirmedSurveyGrace replaces it once a replica has entries, and the primary has
	// them too: a primary without its log has none.
	confirmedSurveyGrace = 20 * time.Millisecond
)

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
	return a, s.collectReplicas(ctx, primary, a.status, answers, pending), nil
}

// collectReplicas returns the statuses of the replicas. It waits for a grace period after
// the first one, and no longer once another host has vouched for the primary.
func (s *Set) collectReplicas(ctx context.Context, primary *Member, st statement.Status, answers <-chan succession.CandidateStatus, pending int) []succession.CandidateStatus {
	var replicas []succession.CandidateStatus
	var graceOver <-chan time.Time
	for pending > 0 {
		observed := s.nextFloor()
		if s.vouchedByPeer(primary) {
			return replicas
		}
		select {
		case answer := <-answers:
			pending--
			if answer.ID == "" {
				continue
			}
			replicas = append(replicas, answer)
			switch received := answer.Status.Received.Offset; {
			case answer.Status.Term == st.Term && received > 0 && received <= st.Received.Offset:
				graceOver = time.After(confirmedSurveyGrace)
			case graceOver == nil:
				graceOver = time.After(logSurveyGrace)
			}
		case <-observed:
		case <-graceOver:
			return replicas
		case <-ctx.Done():
			return replicas
		}
	}
	return replicas
}
