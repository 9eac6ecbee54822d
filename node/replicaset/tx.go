package replicaset

import (
	"context"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// Tx is an open transaction, here or on a gate of its member. It is not safe
// for concurrent use.
type Tx struct {
	set    *Set
	member *Member
	// gate is the host that runs it; empty for this one.
	gate string
	id   uint64
}

// Member returns the name of the member that runs the transaction.
func (t *Tx) Member() string { return t.member.id }

// Gate returns the host that runs the transaction, empty for this one.
func (t *Tx) Gate() string { return t.gate }

// Begin opens a transaction. It returns nil and a refusal when none could be
// opened; nothing of the caller was sent then.
func (s *Set) Begin(ctx context.Context, w Work) (*Tx, Outcome) {
	a := s.newAttempts(w)
	var res Result
	var m *Member
	if w.ReadOnly && w.Route.Consistency != catalog.Primary {
		res, m = a.onReaders(ctx, JobBegin)
	} else {
		res, m = a.onPrimary(ctx, JobBegin)
	}
	if m == nil {
		return nil, a.refused()
	}
	if res.Answer.Code != statement.OK {
		a.last = res.failure(m)
		return nil, a.refused()
	}
	a.out.Answer = statement.Answer{}
	return &Tx{set: s, member: m, gate: a.out.Gate, id: res.Tx}, a.out
}

// Do runs a read or a write in the transaction. A lost connection means that
// nothing of the transaction is kept, because no commit was sent.
func (t *Tx) Do(ctx context.Context, w Work) statement.Answer {
	res := t.set.step(ctx, t.member, t.gate, Job{Kind: JobStatement, Work: w, Tx: t.id})
	if res.Err != nil {
		return statement.ErrorAnswer(statement.Aborted, "the transaction was rolled back: "+res.Err.Error(), statement.Failed)
	}
	return res.Answer
}

// Commit ends the transaction and keeps its writes. Wrote tells whether there
// are any; only then can a lost answer leave the outcome unknown.
func (t *Tx) Commit(ctx context.Context, w Work, wrote bool) statement.Answer {
	res := t.set.step(ctx, t.member, t.gate, Job{Kind: JobCommit, Work: w, Tx: t.id, Wrote: wrote})
	if res.Err != nil {
		if wrote && res.mayHaveRun() {
			return statement.ErrorAnswer(statement.InDoubt, "the commit had no answer; it may have been kept", statement.Idle)
		}
		return statement.ErrorAnswer(statement.Aborted, "the transaction was lost before its end: "+res.Err.Error(), statement.Idle)
	}
	res.Answer.State = statement.Idle
	return res.Answer
}

// Rollback drops the transaction. It does not wait.
func (t *Tx) Rollback() {
	go func() {
		now := clock.Now()
		res := t.set.step(context.Background(), t.member, t.gate, Job{Kind: JobRollback, Work: until(now + undoTimeout), Tx: t.id})
		if res.Err != nil {
			t.set.log.Debug().Err(res.Err).Msg("a rollback was not confirmed; the gate ends the transaction by itself")
		}
	}()
}
