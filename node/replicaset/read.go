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
	// primaryRetryDelay is the delay before the primary is tried again after it
	// refused a job, for example because it was just promoted.
	primaryRetryDelay = 15 * time.Millisecond
	// primaryReadWait bounds the wait for a connection to the primary for a
	// read that a replica could serve. After it, other hosts are asked for a
	// floor again.
	primaryReadWait = 150 * time.Millisecond
)

func (s *Set) Read(ctx context.Context, req Request) Outcome {
	a := s.newAttempts(req)
	if _, m := a.onReaders(ctx, JobRead); m == nil {
		return a.refusal()
	}
	return a.outcome
}

// failure returns the error of a result that is not a success.
func (r Result) failure(m *Member) error {
	if r.Err != nil {
		return r.Err
	}
	return &RefusedError{Reason: fmt.Sprintf("member %s answered %s", m.id, r.Answer.Code)}
}

// retryable reports whether a job with this code may be tried again, possibly on
// another member.
func retryable(c statement.Code) bool {
	switch c {
	case statement.Busy, statement.Behind, statement.ReadOnlyMember, statement.WrongMember,
		statement.UnknownStatement, statement.Aborted, statement.TooManyConnections:
		return true
	}
	return false
}

// refuse converts the last error of a statement that had no effect into an answer
// to the caller.
func (s *Set) refuse(out Outcome, req Request, err error) Outcome {
	out.Cause = err.Error()
	var noResponse *NoResponseError
	switch {
	case errors.As(err, &noResponse) && clock.Now() >= req.Deadline:
		out.Answer = statement.ErrorAnswer(statement.TimedOut, "the statement's time is over", statement.Idle)
	case out.Runs > 0:
		// A read whose answer was lost keeps nothing, but may have run.
		out.Answer = statement.ErrorAnswer(statement.Aborted, fmt.Sprintf("no answer, retry after %d ms", s.retryAfter(req, err).Milliseconds()), statement.Idle)
	default:
		out.Answer = statement.ErrorAnswer(statement.Busy, RetryHint(s.retryAfter(req, err)), statement.Idle)
	}
	return out
}

// defaultRetryAfter is the retry delay suggested to callers when there is no
// better estimate, about the duration of a promotion.
const defaultRetryAfter = 500 * time.Millisecond

// errNoPrimary refuses a statement that only a primary could run.
var errNoPrimary = &RefusedError{Reason: "no primary is known", RetryAfter: defaultRetryAfter}

// RetryHint returns the detail text of a refusal: the statement did not run and may
// be retried after d.
func RetryHint(d time.Duration) string {
	return fmt.Sprintf("not run, retry after %d ms", d.Milliseconds())
}

// peerFloorTimeout bounds the wait for floors from other hosts, at twice the
// longest round trip between regions.
const peerFloorTimeout = 80 * time.Millisecond

// awaitFloor waits briefly for a floor for the read, asking other hosts if none
// is known.
func (s *Set) awaitFloor(ctx context.Context, req Request) bool {
	if _, found := s.floor(req, clock.Now()); found {
		return true
	}
	timer := time.NewTimer(peerFloorTimeout)
	defer timer.Stop()
	for {
		observed := s.requestPeerFloors(clock.Now())
		if _, found := s.floor(req, clock.Now()); found {
			return true
		}
		select {
		case <-observed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// newReadJob returns the job for the chosen member.
func (a *attempts) newReadJob(kind JobKind, r reader) Job {
	j := Job{Kind: kind, Request: a.request, RequirePrimary: kind == JobBegin && r.verifyPrimary, IgnoreEjection: r.ignoreEjection}
	if r.verifyPrimary {
		return a.newPrimaryReadJob(j)
	}
	now := clock.Now()
	floor, found := a.set.floor(a.request, now)
	if !found {
		return j
	}
	j.Floor = floor
	if a.set.isAssumedPrimary(r.member) && a.replicaWillCatchUp(floor, now) {
		j.Request.StartDeadline = min(j.Request.StartDeadline, max(j.Request.OnTimeUntil, now))
	}
	return j
}

// replicaWillCatchUp reports whether a lagging replica can serve the read
// later. If so, the read waits for the primary only until its OnTimeUntil, which
// leaves the primary's connections to work that only the primary can do.
func (a *attempts) replicaWillCatchUp(floor logpos.Position, now time.Duration) bool {
	if !a.floorIsFixed(floor) {
		return false
	}
	_, at, found := catchup.SoonestReady(a.set.awaitableReplicas(newReadProgress(), floor, now), now, a.request.StartDeadline)
	return found && at > now
}

// floorIsFixed reports whether the floor is the caller's own commit, which does
// not change while the read waits. A floor from a staleness bound advances with
// time, so a replica that lags by more than the bound never reaches it.
func (a *attempts) floorIsFixed(floor logpos.Position) bool { return floor == a.request.LastCommit }

// newPrimaryReadJob returns the job for a read that only the current primary can
// answer.
func (a *attempts) newPrimaryReadJob(j Job) Job {
	if j.Kind == JobRead {
		j.Kind = JobPrimaryRead
	}
	if a.request.Route.Consistency != catalog.Primary {
		j.Request.StartDeadline = min(j.Request.StartDeadline, max(j.Request.OnTimeUntil, clock.Now()+primaryReadWait))
	}
	return j
}
