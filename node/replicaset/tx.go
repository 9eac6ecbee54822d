package replicaset

import (
	"context"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// Tx is an open transaction, on this host or on a gate of its member. It is not
// safe for concurrent use.
type Tx struct {
	set    *Set
	member *Member
	// gate is the address of the host that runs the transaction; empty for this
	// one.
	gate string
	id   uint64
}

// Member returns the name of the member that runs the transaction.
func (t *Tx) Member() string { return t.member.id }

// Gate returns the address of the host that runs the transaction; empty for this
// one.
func (t *Tx) Gate() string { return t.gate }

// Begin opens a transaction. If it fails, the Tx is nil and the outcome is a
// refusal; no statement of the caller was sent.
func (s *Set) Begin(ctx context.Context, req Request) (*Tx, Outcome) {
	a := s.newAttempts(req)
	var res Result
	var m *Member
	if req.ReadOnly && req.Route.Consistency != catalog.Primary {
		res, m = a.onReaders(ctx, JobBegin)
	} else {
		res, m = a.onPrimary(ctx, JobBegin)
	}
	if m == nil {
		return nil, a.refusal()
	}
	if res.Answer.Code != statement.OK {
		a.lastErr = res.failure(m)
		return nil, a.refusal()
	}
	a.outcome.Answer = statement.Answer{}
	return &Tx{set: s, member: m, gate: a.outcome.Gate, id: res.Tx}, a.outcome
}

// Do runs a read or a write in the transaction. If the connection is lost, the
// transaction is rolled back, because no commit was sent.
func (t *Tx) Do(ctx context.Context, req Request) statement.Answer {
	res := t.set.stepTx(ctx, t.member, t.gate, Job{Kind: JobStatement, Request: req, Tx: t.id})
	if res.Err != nil {
		return statement.ErrorAnswer(statement.Aborted, "the transaction was rolled back: "+res.Err.Error(), statement.TransactionFailed)
	}
	return res.Answer
}

// Commit commits the transaction. wrote is set if the transaction has writes; only
// then can a lost answer leave the outcome unknown.
func (t *Tx) Commit(ctx context.Context, req Request, wrote bool) statement.Answer {
	if _, held := t.set.commitsHeld(); held && wrote {
		t.Rollback()
		return statement.ErrorAnswer(statement.Aborted, "the primary is being replaced; the transaction was rolled back", statement.Idle)
	}
	res := t.set.stepTx(ctx, t.member, t.gate, Job{Kind: JobCommit, Request: req, Tx: t.id, Wrote: wrote})
	if res.Err != nil {
		if wrote && res.mayHaveRun() {
			return statement.ErrorAnswer(statement.InDoubt, "the commit had no answer; it may have been kept", statement.Idle)
		}
		return statement.ErrorAnswer(statement.Aborted, "the transaction was lost before its end: "+res.Err.Error(), statement.Idle)
	}
	res.Answer.State = statement.Idle
	return res.Answer
}

// Rollback rolls the transaction back in the background.
func (t *Tx) Rollback() {
	go func() {
		now := clock.Now()
		res := t.set.stepTx(context.Background(), t.member, t.gate, Job{Kind: JobRollback, Request: requestUntil(now + rollbackTimeout), Tx: t.id})
		if res.Err != nil {
			t.set.log.Debug().Err(res.Err).Msg("rollback was not confirmed; the gate will roll back the unused transaction")
		}
	}()
}
