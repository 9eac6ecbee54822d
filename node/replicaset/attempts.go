package replicaset

import (
	"context"

	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// maxAttempts bounds the members that one statement is tried on.
const maxAttempts = 6

// attempts carries one step of a caller out on one member after another.
type attempts struct {
	set  *Set
	work Work
	out  Outcome
	// last is why the newest attempt did not succeed.
	last error
}

func (s *Set) newAttempts(w Work) *attempts {
	return &attempts{set: s, work: w, last: &RefusedError{Reason: "no member could be asked"}}
}

// left reports whether there may be another attempt.
func (a *attempts) left(ctx context.Context) bool {
	return a.out.Attempts < maxAttempts && ctx.Err() == nil && clock.Now() < a.work.EndBy
}

// try sends a job to a member. It reports whether the answer is final.
func (a *attempts) try(ctx context.Context, m *Member, j Job, primary bool) (Result, bool) {
	a.out.Attempts++
	a.out.Member, a.out.Primary, a.out.Floor = m.id, primary, j.Floor
	res, gate := a.set.dispatch(ctx, m, j)
	a.out.Waited, a.out.Gate = res.Waited, gate
	if res.Err == nil && !retryable(res.Answer.Code) {
		a.out.Answer = res.Answer
		return res, true
	}
	a.last = res.failure(m)
	return res, false
}

// goOnWithPrimary waits shortly before the primary is tried again. It reports
// false when that is of no use.
func (a *attempts) goOnWithPrimary(ctx context.Context) bool {
	return !overloaded(a.last) && clock.Now() <= a.work.StartBy && clock.Sleep(ctx, primaryPause)
}

// refused returns the outcome of a step that no attempt carried out.
func (a *attempts) refused() Outcome { return refuse(a.out, a.work, a.last) }

// onPrimary has the primary carry a step out. It is tried again only after an
// answer that says that it had no effect. The member is nil when none did.
func (a *attempts) onPrimary(ctx context.Context, kind JobKind) (Result, *Member) {
	for a.left(ctx) {
		m, found := a.set.awaitPrimary(ctx, &a.work)
		if !found {
			a.last = errNoPrimary
			break
		}
		res, done := a.try(ctx, m, Job{Kind: kind, Work: a.work, Plain: kind == JobBegin}, true)
		if done || (kind == JobWrite && res.mayHaveRun()) {
			return res, m
		}
		if !a.goOnWithPrimary(ctx) {
			break
		}
	}
	return Result{}, nil
}

// onReaders has some member carry out a step that only reads. It may go to
// several in turn, because a read has no effect. The member is nil when none
// carried it out.
func (a *attempts) onReaders(ctx context.Context, kind JobKind) (Result, *Member) {
	t := newTried()
	for a.left(ctx) {
		r, err := a.pickReader(ctx, t)
		if err != nil {
			a.last = err
			break
		}
		a.out.Source = a.source(r)
		res, done := a.try(ctx, r.member, a.readerJob(kind, r), r.guarded)
		if done {
			return res, r.member
		}
		if r.unbounded && refusedUnbounded(res.Err) {
			// The member was not asked; once a floor is known it may serve the read.
			t.unbounded = true
			continue
		}
		if a.set.leads(r.member) && overloaded(res.Err) {
			t.full = res.Err
		}
		if !r.guarded {
			t.failed(r.member, res.Err == nil && res.Answer.Code == statement.Behind)
			continue
		}
		if a.boundedByNow() {
			t.failed(r.member, false)
			continue
		}
		if !a.goOnWithPrimary(ctx) {
			break
		}
	}
	return Result{}, nil
}

// boundedByNow reports whether the refusal of a primary without room has
// brought a floor, so that a replica can serve the read.
func (a *attempts) boundedByNow() bool {
	if !overloaded(a.last) {
		return false
	}
	_, found := a.set.floor(a.work, clock.Now())
	return found
}

// tried is what has come of a step on the members so far.
type tried struct {
	// asked are the members that were tried, and useless those of them that
	// failed for another reason than a log that was too short.
	asked, useless map[string]bool
	// unbounded tells that a gate has found no floor for the read either.
	unbounded bool
	// full is the refusal of a primary that has no room; nil while there is none.
	full error
}

func newTried() *tried { return &tried{asked: map[string]bool{}, useless: map[string]bool{}} }

func (t *tried) failed(m *Member, behind bool) {
	t.asked[m.id] = true
	if !behind {
		t.useless[m.id] = true
	}
}
