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

const (
	// maxAttempts bounds the members that one statement is tried on.
	maxAttempts = 6
	// undoTimeout bounds the end of the system's own transactions.
	undoTimeout = time.Second
	// primaryPause is the wait before a primary that had no room, or a new one
	// just after a change, is asked again.
	primaryPause = 15 * time.Millisecond
)

// Read runs a single read. It may go to several members in turn, because a
// read has no effect.
func (s *Set) Read(ctx context.Context, w Work) Outcome {
	out := Outcome{}
	tried := map[string]bool{}
	cause := &RefusedError{Reason: "no member could be asked"}
	var last error = cause
	for out.Attempts < maxAttempts && ctx.Err() == nil {
		now := clock.Now()
		if now >= w.EndBy {
			break
		}
		m, guarded, err := s.pickReader(ctx, w, tried)
		if err != nil {
			last = err
			break
		}
		out.Attempts++
		out.Member, out.Primary = m.id, guarded
		a, waited, err := s.readOn(ctx, m, w, guarded)
		out.Waited = waited
		if err == nil && !retryable(a.Code) {
			out.Answer = a
			return out
		}
		last = err
		if err == nil {
			last = &RefusedError{Reason: fmt.Sprintf("member %s answered %s", m.id, a.Code)}
		}
		if !guarded {
			tried[m.id] = true
			continue
		}
		if now > w.StartBy || !pause(ctx, primaryPause) {
			break
		}
	}
	return s.refuse(out, w, last)
}

// retryable reports whether a read with this code may be tried elsewhere.
func retryable(c statement.Code) bool {
	switch c {
	case statement.Busy, statement.Behind, statement.ReadOnlyMember, statement.WrongMember,
		statement.UnknownStatement, statement.Aborted, statement.TooManyConnections:
		return true
	}
	return false
}

// refuse turns the last error of a statement that had no effect into an answer.
func (s *Set) refuse(out Outcome, w Work, err error) Outcome {
	out.Cause = err.Error()
	var refused *RefusedError
	var lost *LostError
	switch {
	case errors.As(err, &lost) && clock.Now() >= w.EndBy:
		out.Answer = statement.Refuse(statement.TimedOut, "the statement's time is over", statement.Idle)
	case errors.As(err, &refused) && refused.RetryAfter > 0:
		out.Answer = statement.Refuse(statement.Busy, retryHint(refused.RetryAfter), statement.Idle)
	default:
		out.Answer = statement.Refuse(statement.Busy, retryHint(defaultRetryAfter), statement.Idle)
	}
	return out
}

// defaultRetryAfter is what callers are told when no better estimate exists:
// about the time in which a promotion completes.
const defaultRetryAfter = 500 * time.Millisecond

func retryHint(d time.Duration) string {
	return fmt.Sprintf("not run, retry after %d ms", d.Milliseconds())
}

// pause waits; it reports false when the context ended first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// pickReader returns the member to read from. Guarded tells that nothing known
// bounds the age of a read, so that the primary must prove its lead. While the
// primary has no connection to spare, other hosts are asked for what they know:
// after a restart of all hosts the primary is the scarcest of all.
func (s *Set) pickReader(ctx context.Context, w Work, tried map[string]bool) (*Member, bool, error) {
	if m, found := s.unguardedReader(w, tried); found {
		return m, false, nil
	}
	bounded := w.Route.Consistency != catalog.Primary
	if m, found := s.Primary(); found && (!bounded || m.hasIdle()) {
		return m, true, nil
	}
	if bounded && len(tried) == 0 && s.awaitFloor(ctx, w) {
		if m, found := s.unguardedReader(w, tried); found {
			return m, false, nil
		}
	}
	m, found := s.awaitPrimary(ctx, w.StartBy)
	if !found {
		return nil, true, &RefusedError{Reason: "no primary is known", RetryAfter: defaultRetryAfter}
	}
	return m, true, nil
}

// unguardedReader returns the best member for a read whose age is bounded by
// what this host knows.
func (s *Set) unguardedReader(w Work, tried map[string]bool) (*Member, bool) {
	now := clock.Now()
	if _, found := s.floor(w, now); !found {
		return nil, false
	}
	readers := s.readers(tried, now)
	if len(readers) == 0 {
		return nil, false
	}
	return readers[0], true
}

// peerWait bounds the wait for other hosts' floors: twice the longest round
// trip between regions.
const peerWait = 80 * time.Millisecond

// awaitFloor waits shortly for a floor that serves the read.
func (s *Set) awaitFloor(ctx context.Context, w Work) bool {
	until := time.NewTimer(peerWait)
	defer until.Stop()
	for {
		learned := s.askPeers(clock.Now())
		if _, found := s.floor(w, clock.Now()); found {
			return true
		}
		select {
		case <-learned:
		case <-until.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// readOn runs a read on one member.
func (s *Set) readOn(ctx context.Context, m *Member, w Work, guarded bool) (statement.Answer, time.Duration, error) {
	began := clock.Now()
	c, err := m.acquire(ctx, w.waiter())
	waited := clock.Now() - began
	if err != nil {
		return statement.Answer{}, waited, err
	}
	if err := c.assign(w.Values, w.EndBy); err != nil {
		m.release(c)
		return statement.Answer{}, waited, err
	}
	if guarded {
		a, err := s.readGuarded(c, w)
		return a, waited, err
	}
	floor, found := s.floor(w, clock.Now())
	if !found {
		m.release(c)
		return statement.Answer{}, waited, &RefusedError{Reason: "the floor grew too old while the read waited"}
	}
	x, err := c.run(w.Statement, floor, w.EndBy)
	m.release(c)
	if x.answer.Code == statement.Behind {
		m.lacked(clock.Now())
	}
	return x.answer, waited, err
}

// readGuarded runs a read inside a transaction of the system's own. A member
// that has lost the lead refuses to open it, or to read in it, so the answer
// shows every commit acknowledged before. A check made before a plain read
// would prove nothing about the moment of the read.
func (s *Set) readGuarded(c *Conn, w Work) (statement.Answer, error) {
	a, err := c.Do(statement.Operation{Verb: statement.Start}, w.EndBy)
	if err != nil || a.Code != statement.OK {
		s.noteDenied(c, a, err)
		c.member.release(c)
		return a, err
	}
	x, err := c.run(w.Statement, logpos.Position{}, w.EndBy)
	if err != nil {
		c.member.release(c)
		return x.answer, err
	}
	if x.answer.Code == statement.OK {
		s.proved(c.member, x.answer.Position, x.sent)
	}
	s.noteDenied(c, x.answer, err)
	go s.undo(c)
	x.answer.State = statement.Idle
	return x.answer, nil
}

// noteDenied takes a refusal to act as primary.
func (s *Set) noteDenied(c *Conn, a statement.Answer, err error) {
	if err == nil && a.Code == statement.ReadOnlyMember {
		s.denied(c.member)
	}
}

// undo rolls back the transaction on a connection and returns it.
func (s *Set) undo(c *Conn) {
	if !c.broken && c.lastState != statement.Idle {
		if _, err := c.Do(statement.Operation{Verb: statement.Undo}, clock.Now()+undoTimeout); err != nil {
			s.log.Debug().Err(err).Msg("a rollback had no answer; the connection is closed")
		}
	}
	c.member.release(c)
}
