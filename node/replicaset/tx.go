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
	out := Outcome{}
	tried := map[string]bool{}
	var last error = &RefusedError{Reason: "no member could be asked"}
	for out.Attempts < maxAttempts && ctx.Err() == nil && clock.Now() < w.EndBy {
		m, plain, err := s.pickForTx(ctx, &w, tried)
		if err != nil {
			last = err
			break
		}
		out.Attempts++
		out.Member, out.Primary = m.id, plain
		j := Job{Kind: JobBegin, Work: w, Plain: plain}
		if !plain {
			j = s.withFloor(j)
			out.Floor = j.Floor
		}
		res, gate := s.dispatch(ctx, m, j)
		out.Waited, out.Gate = res.Waited, gate
		if res.Err == nil && res.Answer.Code == statement.OK {
			return &Tx{set: s, member: m, gate: gate, id: res.Tx}, out
		}
		last = res.failure(m)
		if !plain {
			tried[m.id] = true
			continue
		}
		if overloaded(res.Err) || clock.Now() > w.StartBy || !clock.Sleep(ctx, primaryPause) {
			break
		}
	}
	return nil, refuse(out, w, last)
}

// pickForTx returns the member for a transaction, and whether it must lead.
func (s *Set) pickForTx(ctx context.Context, w *Work, tried map[string]bool) (*Member, bool, error) {
	if w.ReadOnly && w.Route.Consistency != catalog.Primary {
		return s.pickReader(ctx, w, tried)
	}
	m, found := s.awaitPrimary(ctx, w)
	if !found {
		return nil, true, errNoPrimary
	}
	return m, true, nil
}

// Do runs a read or a write in the transaction. A lost connection means that
// nothing of the transaction is kept, because no commit was sent.
func (t *Tx) Do(ctx context.Context, w Work) statement.Answer {
	res := t.set.step(ctx, t.member, t.gate, Job{Kind: JobStatement, Work: w, Tx: t.id})
	if res.Err != nil {
		return statement.Refuse(statement.Aborted, "the transaction was rolled back: "+res.Err.Error(), statement.Failed)
	}
	return res.Answer
}

// Commit ends the transaction and keeps its writes. Wrote tells whether there
// are any; only then can a lost answer leave the outcome unknown.
func (t *Tx) Commit(ctx context.Context, w Work, wrote bool) statement.Answer {
	res := t.set.step(ctx, t.member, t.gate, Job{Kind: JobCommit, Work: w, Tx: t.id, Wrote: wrote})
	if res.Err != nil {
		if wrote && res.mayHaveRun() {
			return statement.Refuse(statement.InDoubt, "the commit had no answer; it may have been kept", statement.Idle)
		}
		return statement.Refuse(statement.Aborted, "the transaction was lost before its end: "+res.Err.Error(), statement.Idle)
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
