package replicaset

import (
	"context"

	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// Write runs a single write on the primary. It is tried again only after an
// answer that says that it had no effect.
func (s *Set) Write(ctx context.Context, w Work) Outcome {
	out := Outcome{Primary: true}
	var last error = &RefusedError{Reason: "no primary could be asked"}
	for out.Attempts < maxAttempts && ctx.Err() == nil && clock.Now() < w.EndBy {
		m, found := s.awaitPrimary(ctx, &w)
		if !found {
			last = errNoPrimary
			break
		}
		out.Attempts++
		out.Member = m.id
		res, gate := s.dispatch(ctx, m, Job{Kind: JobWrite, Work: w})
		out.Waited, out.Gate = res.Waited, gate
		switch {
		case res.mayHaveRun():
			out.Cause = res.Err.Error()
			out.Answer = statement.Refuse(statement.InDoubt, "the member did not answer; the write may have been kept", statement.Idle)
			return out
		case res.Err == nil && !retryable(res.Answer.Code):
			out.Answer = res.Answer
			return out
		}
		last = res.failure(m)
		if overloaded(res.Err) || clock.Now() > w.StartBy || !clock.Sleep(ctx, primaryPause) {
			break
		}
	}
	return refuse(out, w, last)
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
