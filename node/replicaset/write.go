package replicaset

import (
	"context"

	"github.com/dotterelswitch/dotterelswitch/core/statement"
)

// Write runs a single write on the primary.
func (s *Set) Write(ctx context.Context, w Work) Outcome {
	a := s.newAttempts(w)
	res, m := a.onPrimary(ctx, JobWrite)
	if m == nil {
		return a.refused()
	}
	if res.mayHaveRun() {
		a.out.Cause = res.Err.Error()
		a.out.Answer = statement.ErrorAnswer(statement.InDoubt, "the member did not answer; the write may have been kept", statement.Idle)
	}
	return a.out
}

// mayHaveRun reports whether the caller's statement may have reached the
// member although no answer came.
func (r Result) mayHaveRun() bool {
	if r.Err == nil {
		return false
	}
	gate, failed := r.gateError()
	return r.Handed || (failed && gate.Sent)
}
