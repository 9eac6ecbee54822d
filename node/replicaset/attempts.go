package replicaset

import (
	"context"

	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// maxAttempts bounds the attempts per statement.
const maxAttempts = 6

// attempts runs one job for a caller, trying members in turn.
type attempts struct {
	set     *Set
	request Request
	outcome Outcome
	// lastErr is the reason why the latest attempt failed.
	lastErr error
	// admittedRuns is how often the statement may run under the team's limit.
	admittedRuns int
	// failed is the outcome of the latest attempt that a member answered with a failure and
	// that may run on another member; nil if there was none.
	failed *Outcome
}

func (s *Set) newAttempts(req Request) *attempts {
	return &attempts{set: s, request: req, lastErr: &RefusedError{Reason: "no member could be asked"}, admittedRuns: 1}
}

// canRetry reports whether another attempt is allowed.
func (a *attempts) canRetry(ctx context.Context) bool {
	return a.outcome.Attempts < maxAttempts && ctx.Err() == nil && clock.Now() < a.request.Deadline && a.admitRun(ctx)
}

// admitRun reports whether the statement may be sent to a member under the team's limit,
// which counts each run. A read whose answer was lost may have run already.
func (a *attempts) admitRun(ctx context.Context) bool {
	for a.outcome.Runs >= a.admittedRuns {
		if a.request.AdmitRerun != nil && !a.request.AdmitRerun(ctx) {
			return false
		}
		a.admittedRuns++
	}
	return true
}

// recordRun counts an attempt in which a member has, or may have, run the statement.
// Opening a transaction runs no statement of the caller.
func (a *attempts) recordRun(kind JobKind, res Result) {
	if kind != JobBegin && (res.Err == nil && !retryable(res.Answer.Code) || res.mayHaveRun()) {
		a.outcome.Runs++
	}
}

// try sends a job to a member and reports whether the answer is final.
func (a *attempts) try(ctx context.Context, m *Member, j Job, primary bool) (Result, bool) {
	a.outcome.Attempts++
	a.outcome.Member, a.outcome.Primary, a.outcome.Floor = m.id, primary, j.Floor
	res, gateAddress := a.dispatch(ctx, m, j)
	a.outcome.Waited, a.outcome.Gate = res.Waited, gateAddress
	if res.Err == nil && !retryable(res.Answer.Code) {
		a.outcome.Answer = res.Answer
		return res, true
	}
	a.lastErr = res.failure(m)
	return res, false
}

// waitToRetryPrimary sleeps before the primary is tried again. It returns false
// when a retry is pointless: the primary is overloaded or the start deadline
// has passed.
func (a *attempts) waitToRetryPrimary(ctx context.Context) bool {
	return !overloaded(a.lastErr) && clock.Now() <= a.request.StartDeadline && clock.Sleep(ctx, primaryRetryDelay)
}

// refusal returns the outcome of a job that no attempt completed. A member's own failure
// goes out as it is.
func (a *attempts) refusal() Outcome {
	if a.failed != nil {
		return a.failureOutcome()
	}
	return a.set.refuse(a.outcome, a.request, a.lastErr)
}

// onPrimary runs a job on the primary. It retries only while the failed attempts
// cannot have had an effect. The member is nil if no attempt got a final answer.
func (a *attempts) onPrimary(ctx context.Context, kind JobKind) (Result, *Member) {
	for a.canRetry(ctx) {
		m, found := a.set.awaitPrimary(ctx, &a.request, kind == JobWrite || !a.request.ReadOnly)
		if !found {
			a.lastErr = errNoPrimary
			break
		}
		res, done := a.try(ctx, m, Job{Kind: kind, Request: a.request, RequirePrimary: kind == JobBegin}, true)
		if done || (kind == JobWrite && res.mayHaveRun()) {
			return res, m
		}
		if !a.waitToRetryPrimary(ctx) {
			break
		}
	}
	return Result{}, nil
}

// onReaders runs a read-only job. Reads have no effect, so several members may be
// tried in turn. The member is nil if no attempt got a final answer, or if members failed
// the job and none served it.
func (a *attempts) onReaders(ctx context.Context, kind JobKind) (Result, *Member) {
	progress := newReadProgress()
	a.set.rerunBudget.recordRead()
	for a.canRetry(ctx) {
		r, err := a.pickReader(ctx, progress)
		if err != nil {
			a.lastErr = err
			break
		}
		a.outcome.Source = a.source(r)
		res, done := a.try(ctx, r.member, a.newReadJob(kind, r), r.verifyPrimary)
		if done && a.recordFailedRead(res) {
			if !a.admitFailedRead(ctx, r, progress) {
				break
			}
			continue
		}
		if done && a.failed != nil && res.Answer.Code != statement.OK {
			// A second run that did not succeed tells the caller less than the failure.
			break
		}
		if done {
			a.recordServed()
			return res, r.member
		}
		if a.failed != nil && r.verifyPrimary {
			// An answer is ready, so the read does not wait for the primary.
			break
		}
		if progress.recordEjection(r, res) {
			continue
		}
		if r.floorFromGate && refusedOutright(res.Err) {
			// The gate refused without sending the read to the member, so the
			// member stays eligible.
			progress.gateLacksFloor = true
			continue
		}
		if a.set.isAssumedPrimary(r.member) && overloaded(res.Err) {
			progress.primaryOverload = res.Err
		}
		if !r.verifyPrimary {
			progress.recordFailure(r.member, res.Err == nil && res.Answer.Code == statement.Behind)
			continue
		}
		if a.floorArrived() {
			progress.recordFailure(r.member, false)
			continue
		}
		if !a.waitToRetryPrimary(ctx) {
			break
		}
	}
	return Result{}, nil
}

// floorArrived reports whether an overload refusal from the primary carried a
// floor, so that a replica can serve the read.
func (a *attempts) floorArrived() bool {
	if !overloaded(a.lastErr) {
		return false
	}
	_, found := a.set.floor(a.request, clock.Now())
	return found
}

// readProgress tracks the members tried so far for one read.
type readProgress struct {
	// attempted holds the members that were tried. excluded is the subset that
	// failed for a reason other than replication lag.
	attempted, excluded map[string]bool
	// gateLacksFloor is set once a gate has reported that it knows no floor
	// either.
	gateLacksFloor bool
	// primaryOverload is the primary's overload refusal; nil if there was none.
	primaryOverload error
	ejectionProgress
}

func newReadProgress() *readProgress {
	return &readProgress{attempted: map[string]bool{}, excluded: map[string]bool{}}
}

func (p *readProgress) recordFailure(m *Member, lagging bool) {
	p.attempted[m.id] = true
	if !lagging {
		p.excluded[m.id] = true
	}
}
