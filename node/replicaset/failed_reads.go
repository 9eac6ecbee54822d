package replicaset

import (
	"context"
	"sync"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/feature"
	"github.com/dotterelswitch/dotterelswitch/core/outlier"
	"github.com/dotterelswitch/dotterelswitch/core/retry"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// FailedRead tells what became of a read, or of the begin of a read-only transaction, that
// a member answered with a failure.
type FailedRead uint8

const (
	// NotFailed means that no member failed the read, or that the feature is disabled.
	NotFailed FailedRead = iota
	// ServedElsewhere means that another member served the read.
	ServedElsewhere
	// UnservedElsewhere means that the read was tried on another member in vain.
	UnservedElsewhere
	// PrimaryOnly means that only the primary can answer the read.
	PrimaryOnly
	// TooLate means that too little time was left.
	TooLate
	// NoOtherMember means that no other member could serve the read at once.
	NoOtherMember
	// BudgetEmpty means that the group's retry budget was empty.
	BudgetEmpty
	// GrantRefused means that the team's limit did not allow another run.
	GrantRefused
	numFailedReads
)

var failedReadNames = [numFailedReads]string{
	"none", "served", "unserved", "primary_only", "too_late", "no_other_member", "budget_empty", "grant_refused",
}

func (f FailedRead) String() string { return failedReadNames[f] }

const (
	// rerunRatio and rerunReserve bound the load that reruns add while a member fails
	// everything to a fifth of the reads, and to 10 at a time.
	rerunRatio   = 0.2
	rerunReserve = 10
)

// rerunBudget bounds the reads of a group that run again because a member failed them. It
// is safe for concurrent use. No other lock is taken while its lock is held.
type rerunBudget struct {
	mu     sync.Mutex
	budget *retry.Budget
}

func newRerunBudget() *rerunBudget {
	return &rerunBudget{budget: retry.NewBudget(rerunRatio, rerunReserve)}
}

// recordRead credits the budget for a read.
func (b *rerunBudget) recordRead() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.RecordAttempt()
}

// take consumes a token for a rerun, if one is left.
func (b *rerunBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.TryRetry()
}

// giveBack returns the token of a rerun that was not made.
func (b *rerunBudget) giveBack() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Return()
}

// recordFailedRead reports whether a member has answered a read with a failure that
// another member may not have, and keeps its answer.
func (a *attempts) recordFailedRead(res Result) bool {
	if res.Answer.Code != statement.Failure || !a.set.features.Enabled(feature.FailedReadRetry) {
		return false
	}
	failed := a.outcome
	a.failed = &failed
	return true
}

// admitFailedRead reports whether a read that a member has failed may run on another one.
// A grant that is refused costs the group no token, so that a team over its limit does not
// use up the budget of the others.
func (a *attempts) admitFailedRead(ctx context.Context, r reader, progress *readProgress) bool {
	progress.recordFailure(r.member, false)
	obstacle := a.rerunObstacle(ctx, r, progress)
	if obstacle == NotFailed {
		a.outcome.FailedRead = UnservedElsewhere
		return true
	}
	if a.outcome.FailedRead == NotFailed {
		a.outcome.FailedRead = obstacle
	}
	return false
}

// rerunObstacle returns why a read that a member has failed may not run on another one;
// NotFailed if it may. In that case it has taken a token and a grant.
func (a *attempts) rerunObstacle(ctx context.Context, r reader, progress *readProgress) FailedRead {
	if r.verifyPrimary && a.request.Route.Consistency == catalog.Primary {
		return PrimaryOnly
	}
	if clock.Now() >= a.request.StartDeadline || a.outcome.Attempts >= maxAttempts {
		return TooLate
	}
	if _, err := a.pickOtherReader(progress); err != nil {
		return NoOtherMember
	}
	if !a.set.rerunBudget.take() {
		return BudgetEmpty
	}
	if !a.admitRun(ctx) {
		a.set.rerunBudget.giveBack()
		return GrantRefused
	}
	return NotFailed
}

// errNoOtherReader is the reason why a failed read is not tried on another member.
var errNoOtherReader = &RefusedError{Reason: "no other member can serve the read now"}

// pickOtherReader returns another member for a read that a member has failed. It waits for
// nothing, because an answer is ready and the caller can repeat a failed read.
func (a *attempts) pickOtherReader(progress *readProgress) (reader, error) {
	s := a.set
	now := clock.Now()
	if floor, found := s.floor(a.request, now); found {
		readers := s.rankReaders(&a.request, progress.attempted, floor, now)
		if len(readers) > 0 && !readers[0].Lagging && !readers[0].Suspect {
			if m, known := s.Member(readers[0].ID); known {
				return otherReader(m, readers[0].Ejected, progress)
			}
		}
		return reader{}, errNoOtherReader
	}
	if m, found := a.gateBoundedReader(progress); found {
		return reader{member: m, floorFromGate: true}, nil
	}
	if m, found := s.Primary(); found && !progress.attempted[m.id] && m.hasIdleConn() {
		return reader{member: m, verifyPrimary: true}, nil
	}
	return reader{}, errNoOtherReader
}

// otherReader returns the reader for a member, unless it fails what it runs as well. A slow
// one may serve if it is the best that is left.
func otherReader(m *Member, ejected bool, progress *readProgress) (reader, error) {
	r, err := readerOf(m, ejected, progress)
	if err == nil && r.ignoreEjection && m.Ejection(clock.Now()).Cause == outlier.Failing {
		return reader{}, errNoOtherReader
	}
	return r, err
}

// recordServed records that a member has served the read after others failed it.
func (a *attempts) recordServed() {
	if a.failed != nil {
		a.outcome.FailedRead = ServedElsewhere
	}
}

// failureOutcome returns the outcome of a read that a member failed and no other served:
// the latest failure, with the counts of all attempts.
func (a *attempts) failureOutcome() Outcome {
	out := *a.failed
	out.Attempts, out.Runs, out.ReplicaWait, out.FailedRead = a.outcome.Attempts, a.outcome.Runs, a.outcome.ReplicaWait, a.outcome.FailedRead
	return out
}
