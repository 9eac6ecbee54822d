package replicaset

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/catchup"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

const (
	// primaryPause is the wait before a primary that had no room, or a new one
	// just after a change, is asked again.
	primaryPause = 15 * time.Millisecond
	// guardedHold bounds the wait for a primary that has no connection for this
	// host, for a read that a replica could serve: other hosts are asked for a
	// floor again after it.
	guardedHold = 150 * time.Millisecond
)

// Read runs a single read.
func (s *Set) Read(ctx context.Context, w Work) Outcome {
	a := s.newAttempts(w)
	if _, m := a.onReaders(ctx, JobRead); m == nil {
		return a.refused()
	}
	return a.out
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
		out.Answer = statement.ErrorAnswer(statement.TimedOut, "the statement's time is over", statement.Idle)
	case errors.As(err, &refused) && refused.RetryAfter > 0:
		out.Answer = statement.ErrorAnswer(statement.Busy, RetryHint(refused.RetryAfter), statement.Idle)
	default:
		out.Answer = statement.ErrorAnswer(statement.Busy, RetryHint(defaultRetryAfter), statement.Idle)
	}
	return out
}

// defaultRetryAfter is what callers are told when no better estimate exists:
// about the time in which a promotion completes.
const defaultRetryAfter = 500 * time.Millisecond

// errNoPrimary refuses a statement that only a primary could run.
var errNoPrimary = &RefusedError{Reason: "no primary is known", RetryAfter: defaultRetryAfter}

// RetryHint tells a caller that nothing ran, and when it is of use to come back.
func RetryHint(d time.Duration) string {
	return fmt.Sprintf("not run, retry after %d ms", d.Milliseconds())
}

// peerWait bounds the wait for other hosts' floors: twice the longest round
// trip between regions.
const peerWait = 80 * time.Millisecond

// awaitFloor waits shortly for a floor that serves the read. It asks other hosts
// where none is known.
func (s *Set) awaitFloor(ctx context.Context, w Work) bool {
	if _, found := s.floor(w, clock.Now()); found {
		return true
	}
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

// readerJob returns the job for the member that was picked.
func (a *attempts) readerJob(kind JobKind, r reader) Job {
	j := Job{Kind: kind, Work: a.work, Plain: kind == JobBegin && r.guarded}
	if r.guarded {
		return a.guardedJob(j)
	}
	now := clock.Now()
	floor, found := a.set.floor(a.work, now)
	if !found {
		return j
	}
	j.Floor = floor
	if a.set.leads(r.member) && a.replicaComes(floor, now) {
		j.Work.StartBy = min(j.Work.StartBy, max(j.Work.FreshBy, now))
	}
	return j
}

// replicaComes reports whether a replica that is behind now can serve the read
// later. What the primary cannot serve on time is left to it then: the
// primary's connections are for what only it can serve.
func (a *attempts) replicaComes(floor logpos.Position, now time.Duration) bool {
	if !a.staysAt(floor) {
		return false
	}
	_, at, found := catchup.SoonestReady(a.set.laggards(newTried(), floor, now), now, a.work.StartBy)
	return found && at > now
}

// staysAt reports whether the floor of the read stays where it is while the
// read waits: it is the caller's own commit. One that follows from how stale the
// read may be rises with time, and a replica that is behind by more than that
// does not reach it.
func (a *attempts) staysAt(floor logpos.Position) bool { return floor == a.work.Committed }

// guardedJob returns the job for a primary that must prove its lead.
func (a *attempts) guardedJob(j Job) Job {
	if j.Kind == JobRead {
		j.Kind = JobGuardedRead
	}
	if a.work.Route.Consistency != catalog.Primary {
		j.Work.StartBy = min(j.Work.StartBy, max(j.Work.FreshBy, clock.Now()+guardedHold))
	}
	return j
}
