package replicaset

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// Tx is an open transaction on one connection. It is not safe for concurrent
// use.
type Tx struct {
	set  *Set
	conn *Conn
	// plain tells that the member must lead for every statement to succeed.
	plain bool
}

// Member returns the name of the member that runs the transaction.
func (t *Tx) Member() string { return t.conn.member.id }

// Begin opens a transaction. It returns nil and a refusal when none could be
// opened; nothing of the caller was sent then.
func (s *Set) Begin(ctx context.Context, w Work) (*Tx, Outcome) {
	out := Outcome{}
	tried := map[string]bool{}
	var last error = &RefusedError{Reason: "no member could be asked"}
	for out.Attempts < maxAttempts && ctx.Err() == nil && clock.Now() < w.EndBy {
		m, plain, err := s.pickForTx(ctx, w, tried)
		if err != nil {
			last = err
			break
		}
		out.Attempts++
		out.Member, out.Primary = m.id, plain
		tx, waited, err := s.beginOn(ctx, m, w, plain)
		out.Waited = waited
		if err == nil {
			return tx, out
		}
		last = err
		if !plain {
			tried[m.id] = true
			continue
		}
		if clock.Now() > w.StartBy || !pause(ctx, primaryPause) {
			break
		}
	}
	return nil, s.refuse(out, w, last)
}

// pickForTx returns the member for a transaction, and whether it must lead.
func (s *Set) pickForTx(ctx context.Context, w Work, tried map[string]bool) (*Member, bool, error) {
	if w.ReadOnly && w.Route.Consistency != catalog.Primary {
		return s.pickReader(ctx, w, tried)
	}
	m, found := s.awaitPrimary(ctx, w.StartBy)
	if !found {
		return nil, true, &RefusedError{Reason: "no primary is known", RetryAfter: defaultRetryAfter}
	}
	return m, true, nil
}

func (s *Set) beginOn(ctx context.Context, m *Member, w Work, plain bool) (*Tx, time.Duration, error) {
	began := clock.Now()
	c, err := m.acquire(ctx, w.waiter())
	waited := clock.Now() - began
	if err != nil {
		return nil, waited, err
	}
	tx, err := s.start(c, w, plain)
	if err != nil {
		m.release(c)
		return nil, waited, err
	}
	return tx, waited, nil
}

func (s *Set) start(c *Conn, w Work, plain bool) (*Tx, error) {
	if err := c.assign(w.Values, w.EndBy); err != nil {
		return nil, err
	}
	op := statement.Operation{Verb: statement.Start, ReadOnly: !plain}
	if !plain {
		floor, found := s.floor(w, clock.Now())
		if !found {
			return nil, &RefusedError{Reason: "the floor grew too old while the transaction waited"}
		}
		op.After = floor
	}
	sent := clock.Now()
	a, err := c.Do(op, w.EndBy)
	if err != nil {
		return nil, err
	}
	s.noteDenied(c, a, err)
	if a.Code == statement.Behind {
		c.member.lacked(clock.Now())
	}
	if a.Code != statement.OK {
		return nil, &RefusedError{Reason: fmt.Sprintf("member %s answered %s to a begin", c.member.id, a.Code)}
	}
	if plain {
		s.proved(c.member, a.Position, sent)
	}
	return &Tx{set: s, conn: c, plain: plain}, nil
}

// Do runs a read or a write in the transaction. A lost connection means that
// nothing of the transaction is kept, because no commit was sent.
func (t *Tx) Do(ctx context.Context, w Work) statement.Answer {
	if err := t.conn.assign(w.Values, w.EndBy); err != nil {
		return aborted(err)
	}
	x, err := t.runWithRoom(ctx, w)
	if err != nil {
		return aborted(err)
	}
	t.note(x)
	return x.answer
}

// runWithRoom runs a statement, and again while the member has no room for it
// and the transaction still stands.
func (t *Tx) runWithRoom(ctx context.Context, w Work) (exchange, error) {
	for {
		x, err := t.conn.run(w.Statement, logpos.Position{}, w.EndBy)
		if err != nil || x.answer.Code != statement.Busy || x.answer.State != statement.Open {
			return x, err
		}
		if clock.Now() > w.StartBy || !pause(ctx, primaryPause) {
			return x, nil
		}
	}
}

func aborted(err error) statement.Answer {
	return statement.Refuse(statement.Aborted, "the transaction was rolled back: "+err.Error(), statement.Failed)
}

// note learns from an answer in a transaction whether the member still leads.
func (t *Tx) note(x exchange) {
	if !t.plain {
		return
	}
	if x.answer.Code == statement.OK {
		t.set.proved(t.conn.member, x.answer.Position, x.sent)
	}
	t.set.noteDenied(t.conn, x.answer, nil)
}

// Commit ends the transaction and keeps its writes. Wrote tells whether there
// are any; only then can a lost answer leave the outcome unknown.
func (t *Tx) Commit(ctx context.Context, w Work, wrote bool) statement.Answer {
	x, err := t.runWithRoom(ctx, w)
	if err != nil {
		t.conn.member.release(t.conn)
		var lost *LostError
		if wrote && errors.As(err, &lost) {
			return statement.Refuse(statement.InDoubt, "the commit had no answer; it may have been kept", statement.Idle)
		}
		return statement.Refuse(statement.Aborted, "the connection was lost before the end of the transaction", statement.Idle)
	}
	if wrote {
		t.note(x)
	}
	go t.set.undo(t.conn)
	x.answer.State = statement.Idle
	return x.answer
}

// Rollback drops the transaction. It does not wait for the member.
func (t *Tx) Rollback() { go t.set.undo(t.conn) }
