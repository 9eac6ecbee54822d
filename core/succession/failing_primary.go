package succession

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/outlier"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
)

const (
	// MinLeadTime is how long a primary leads before it is replaced because it fails what
	// it runs. It bounds the changes, each of which stops the group's writes for half a
	// second, where statements fail on every member. A wrong verdict that repeats then
	// costs 3 % of the time. With 30 s a primary that failed in the first half minute after
	// a start of the fleet stayed in place.
	MinLeadTime = 15 * time.Second
	// firstAttemptDelay is the delay after an attempt to replace a failing primary. It
	// doubles with each further one, up to MinLeadTime.
	firstAttemptDelay = 5 * time.Second
	// maxDelayDoublings is the number of doublings that reach MinLeadTime.
	maxDelayDoublings = 2
)

// FailingPrimary decides when a primary that fails what it runs is replaced by a
// switchover. Each host has its own, which knows only what this host has seen. It is not
// safe for concurrent use.
type FailingPrimary struct {
	// primary is the incarnation that leads; empty without one. leadSince is when this host
	// first saw it lead.
	primary   string
	leadSince time.Duration
	// attempts counts the attempts to replace it, and nextAttempt is when the next one is
	// allowed.
	attempts    int
	nextAttempt time.Duration
	// lock is the newest promotion lock that this host has seen, leaderSeenAt when its
	// holder last reported that it leads a promotion.
	lock         Lock
	leaderSeenAt time.Duration
}

// ObservePrimary records which incarnation leads; empty for none. One that leads again
// after the group had no primary counts as a new one.
func (f *FailingPrimary) ObservePrimary(incarnation string, now time.Duration) {
	if incarnation == f.primary {
		return
	}
	*f = FailingPrimary{primary: incarnation, leadSince: now, lock: f.lock, leaderSeenAt: f.leaderSeenAt}
}

// Leads reports whether an incarnation is the primary that was observed last.
func (f *FailingPrimary) Leads(incarnation string) bool { return incarnation == f.primary }

// ObserveLeader records the promotion lock and when its holder last reported that it leads
// a promotion. A change is an attempt of another host, so that hosts do not try one after
// the other.
func (f *FailingPrimary) ObserveLeader(self string, lock Lock, leaderSeenAt, now time.Duration) {
	lockTaken := lock != f.lock && lock.Holder != "" && lock.Holder != self
	if lockTaken || leaderSeenAt > f.leaderSeenAt && now >= f.nextAttempt {
		f.RecordAttempt(now)
	}
	f.lock, f.leaderSeenAt = lock, max(f.leaderSeenAt, leaderSeenAt)
}

// RecordAttempt records an attempt to replace the primary.
func (f *FailingPrimary) RecordAttempt(now time.Duration) {
	if now >= f.nextAttempt+MinLeadTime {
		f.attempts = 0
	}
	delay := min(firstAttemptDelay<<min(f.attempts, maxDelayDoublings), MinLeadTime)
	f.attempts++
	f.nextAttempt = max(f.nextAttempt, now+delay)
}

// RecordStepDown records that the primary has stepped down. If it leads again, it is a new
// change of the group's primary.
func (f *FailingPrimary) RecordStepDown(now time.Duration) { f.leadSince = now }

// Due reports whether the primary is to be replaced, given the verdict on it and whether
// another member is healthy. A slow primary is never replaced: a change costs more than it
// gains.
func (f *FailingPrimary) Due(verdict outlier.Ejection, healthyMember bool, now time.Duration) bool {
	return f.primary != "" && healthyMember && verdict.Active(now) && verdict.Cause == outlier.Failing &&
		now >= f.leadSince+MinLeadTime && now >= f.nextAttempt
}

// StepDownConfirmed reports whether the status with which a member answered the order to
// step down for a term shows that it follows and knows no newer term. What it has received
// is then the whole log. A member ignores an order for a term that it knows already, and
// goes on to acknowledge writes.
func StepDownConfirmed(st statement.Status, term logpos.Term) bool {
	return !st.Primary && st.Term <= term
}

// ChooseComplete returns a replica that has received the log up to its end, if possible one
// that is not ejected. Replicas that leave are not considered.
func ChooseComplete(candidates []CandidateStatus, end logpos.Position) (CandidateStatus, bool) {
	var chosen CandidateStatus
	found := false
	for _, c := range candidates {
		if c.Leaving || c.Status.Received.Compare(end) < 0 {
			continue
		}
		if !found || chosen.Ejected && !c.Ejected {
			chosen, found = c, true
		}
	}
	return chosen, found
}
