package replicaset

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

const (
	// maxAttempts bounds the members that one statement is tried on.
	maxAttempts = 6
	// primaryPause is the wait before a primary that had no room, or a new one
	// just after a change, is asked again.
	primaryPause = 15 * time.Millisecond
	// guardedHold bounds the wait for a primary that has no connection for this
	// host, for a read that a replica could serve: other hosts are asked for a
	// floor again after it.
	guardedHold = 150 * time.Millisecond
)

// Read runs a single read. It may go to several members in turn, because a
// read has no effect.
func (s *Set) Read(ctx context.Context, w Work) Outcome {
	out := Outcome{}
	tried := map[string]bool{}
	var last error = &RefusedError{Reason: "no member could be asked"}
	for out.Attempts < maxAttempts && ctx.Err() == nil {
		now := clock.Now()
		if now >= w.EndBy {
			break
		}
		m, guarded, err := s.pickReader(ctx, &w, tried)
		if err != nil {
			last = err
			break
		}
		out.Attempts++
		out.Member, out.Primary = m.id, guarded
		j := s.readJob(w, guarded)
		out.Floor = j.Floor
		res, gate := s.dispatch(ctx, m, j)
		out.Waited, out.Gate = res.Waited, gate
		if res.Err == nil && !retryable(res.Answer.Code) {
			out.Answer = res.Answer
			return out
		}
		last = res.failure(m)
		if !guarded {
			tried[m.id] = true
			continue
		}
		if overloaded(res.Err) || now > w.StartBy || !clock.Sleep(ctx, primaryPause) {
			break
		}
	}
	return refuse(out, w, last)
}

func (s *Set) readJob(w Work, guarded bool) Job {
	if guarded {
		if w.Route.Consistency != catalog.Primary {
			w.StartBy = min(w.StartBy, max(w.FreshBy, clock.Now()+guardedHold))
		}
		return Job{Kind: JobGuardedRead, Work: w}
	}
	return s.withFloor(Job{Kind: JobRead, Work: w})
}

// withFloor adds what this host knows of the floor.
func (s *Set) withFloor(j Job) Job {
	if floor, found := s.floor(j.Work, clock.Now()); found {
		j.Floor = floor
	}
	return j
}

// failure returns why a result is no success.
func (r Result) failure(m *Member) error {
	if r.Err != nil {
		return r.Err
	}
	return &RefusedError{Reason: fmt.Sprintf("member %s answered %s", m.id, r.Answer.Code)}
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
func refuse(out Outcome, w Work, err error) Outcome {
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

// errNoPrimary refuses a statement that only a primary could run.
var errNoPrimary = &RefusedError{Reason: "no primary is known", RetryAfter: defaultRetryAfter}

func retryHint(d time.Duration) string {
	return fmt.Sprintf("not run, retry after %d ms", d.Milliseconds())
}

// pickReader returns the member to read from. Guarded tells that nothing known
// bounds the age of a read, so that the primary must prove its lead. While the
// primary has no connection to spare, other hosts are asked for what they know:
// after a restart of all hosts the primary is the scarcest of all.
func (s *Set) pickReader(ctx context.Context, w *Work, tried map[string]bool) (*Member, bool, error) {
	if m, found := s.unguardedReader(*w, tried); found {
		return m, false, nil
	}
	bounded := w.Route.Consistency != catalog.Primary
	if m, found := s.Primary(); found && (!bounded || m.hasIdle()) {
		return m, true, nil
	}
	if bounded && len(tried) == 0 && s.awaitFloor(ctx, *w) {
		if m, found := s.unguardedReader(*w, tried); found {
			return m, false, nil
		}
	}
	m, found := s.awaitPrimary(ctx, w)
	if !found {
		return nil, true, errNoPrimary
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
