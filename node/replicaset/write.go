package replicaset

import (
	"context"

	"github.com/dotterelswitch/dotterelswitch/core/statement"
)

// Write runs a single write on the primary.
func (s *Set) Write(ctx context.Context, req Request) Outcome {
	a := s.newAttempts(req)
	res, m := a.onPrimary(ctx, JobWrite)
	if m == nil {
		return a.refusal()
	}
	if res.mayHaveRun() {
		a.outcome.Cause = res.Err.Error()
		a.outcome.Answer = statement.ErrorAnswer(statement.InDoubt, "the member did not answer; the write may have been kept", statement.Idle)
	}
	return a.outcome
}

// mayHaveRun reports whether the caller's statement may have reached the member
// although no answer came.
func (r Result) mayHaveRun() bool {
	if r.Err == nil {
		return false
	}
	gateErr, isGateErr := r.gateError()
	return r.StatementMayHaveRun || (isGateErr && gateErr.JobMayHaveArrived)
}
