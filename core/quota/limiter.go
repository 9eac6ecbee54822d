package quota

import "time"

// Verdict is the decision on an operation.
type Verdict uint8

// The verdicts.
const (
	// Admitted means that the operation may run.
	Admitted Verdict = iota
	// Pending means that the operation waits for a grant of a counter.
	Pending
	// Refused means that the team has exhausted its limit or has too many operations
	// waiting.
	Refused
)

// Decision is the result of Admit.
type Decision struct {
	Verdict Verdict
	// RetryAfter is the delay after which a refused operation may be retried.
	RetryAfter time.Duration
}

// maxWaiting bounds the operations of a team that wait for a grant on one host.
const maxWaiting = 256

// teamState is the admission state of one team on one host.
type teamState struct {
	// unconfirmed is the number of operations that were admitted but not granted yet.
	unconfirmed int
	// waiting is the number of operations that wait for a grant. The pending request
	// covers requestedWaiting of them, and requestedUnconfirmed operations that were
	// admitted before.
	waiting                                int
	requestedUnconfirmed, requestedWaiting int
	requestPending                         bool
	// exhaustedUntil is the time until which the counters have nothing left to grant.
	exhaustedUntil time.Duration
	lastUsed       time.Duration
	// admitted and refused count the team's operations.
	admitted, refused int
}

// Usage counts a host's decisions for a team since the team was last evicted as idle.
type Usage struct {
	Admitted, Refused int
	// Unconfirmed is the number of operations that were admitted but not granted yet.
	Unconfirmed int
}

// UsageByTeam returns the usage of every active team.
func (lim *Limiter) UsageByTeam() map[string]Usage {
	out := make(map[string]Usage, len(lim.teams))
	for team, t := range lim.teams {
		out[team] = Usage{Admitted: t.admitted, Refused: t.refused, Unconfirmed: t.unconfirmed}
	}
	return out
}

// Limiter decides for one host which operations of the teams run. It is not safe for
// concurrent use.
type Limiter struct {
	// unconfirmedAllowedFrom is the time from which operations may run before they are
	// granted. A previous process may have used the allowance in the current window.
	unconfirmedAllowedFrom time.Duration
	teams                  map[string]*teamState
	evictedAt              time.Duration
}

// NewLimiter returns the limiter of a host that starts now.
func NewLimiter(t Tolerance, now time.Duration) *Limiter {
	return &Limiter{unconfirmedAllowedFrom: now + t.Window, teams: map[string]*teamState{}}
}

// Admit decides on an operation of a team. Up to maxUnconfirmed operations may run
// before they are granted.
func (lim *Limiter) Admit(team string, l Limit, maxUnconfirmed int, now time.Duration) Decision {
	if !l.Bounded {
		return Decision{Verdict: Admitted}
	}
	lim.evictIdle(now)
	t := lim.stateOf(team)
	t.lastUsed = now
	switch {
	case t.unconfirmed < maxUnconfirmed && now >= lim.unconfirmedAllowedFrom:
		t.unconfirmed++
		t.admitted++
		return Decision{Verdict: Admitted}
	case now < t.exhaustedUntil:
		t.refused++
		return Decision{Verdict: Refused, RetryAfter: t.exhaustedUntil - now}
	case t.waiting >= maxWaiting:
		t.refused++
		return Decision{Verdict: Refused, RetryAfter: overloadRetryAfter}
	}
	t.waiting++
	return Decision{Verdict: Pending}
}

// overloadRetryAfter is the retry delay if too many operations wait for a grant: about
// the duration of one request to a counter.
const overloadRetryAfter = 50 * time.Millisecond

func (lim *Limiter) stateOf(team string) *teamState {
	t, found := lim.teams[team]
	if !found {
		t = &teamState{}
		lim.teams[team] = t
	}
	return t
}

// NextRequest returns how many operations to request from the counters now, or zero if
// a request is pending or the counters are exhausted. Each request ends with ApplyGrant
// or RequestFailed.
func (lim *Limiter) NextRequest(team string, now time.Duration) int {
	t := lim.stateOf(team)
	if t.requestPending || now < t.exhaustedUntil || t.unconfirmed+t.waiting == 0 {
		return 0
	}
	t.requestPending, t.requestedUnconfirmed, t.requestedWaiting = true, t.unconfirmed, t.waiting
	return t.requestedUnconfirmed + t.requestedWaiting
}

// ApplyGrant ends a request. It returns how many of the waiting operations run now, the
// oldest first, and how many are refused.
func (lim *Limiter) ApplyGrant(team string, g Grant, now time.Duration) (run, refused int) {
	t := lim.stateOf(team)
	t.requestPending = false
	confirmed := min(g.Granted, t.requestedUnconfirmed, t.unconfirmed)
	t.unconfirmed -= confirmed
	run = min(g.Granted-confirmed, t.requestedWaiting, t.waiting)
	refused = min(t.requestedWaiting, t.waiting) - run
	if g.RetryAfter > 0 {
		// No request is sent until RetryAfter has passed, so operations that arrived
		// during this one would get no response.
		refused = t.waiting - run
		t.exhaustedUntil = now + g.RetryAfter
	}
	t.waiting -= run + refused
	t.admitted += run
	t.refused += refused
	return run, refused
}

// RequestFailed ends a request without a grant. All waiting operations are refused;
// operations that were already admitted stay unconfirmed.
func (lim *Limiter) RequestFailed(team string, now time.Duration) (refused int) {
	_, refused = lim.ApplyGrant(team, Grant{RetryAfter: failureRetryAfter}, now)
	return refused
}

// failureRetryAfter is the delay before the next request after one that failed: about
// the restart time of a process.
const failureRetryAfter = 200 * time.Millisecond

// Refund releases an admitted operation that did not run, if it is unconfirmed and not
// part of a pending request. Granted operations are not returned.
func (lim *Limiter) Refund(team string) {
	t := lim.stateOf(team)
	if t.unconfirmed > 0 && !t.requestPending {
		t.unconfirmed--
	}
}

// evictIdle removes idle teams that have no unconfirmed or waiting operations.
func (lim *Limiter) evictIdle(now time.Duration) {
	if now-lim.evictedAt < evictInterval {
		return
	}
	lim.evictedAt = now
	for team, t := range lim.teams {
		if t.unconfirmed == 0 && t.waiting == 0 && !t.requestPending && now-t.lastUsed > idleTimeout {
			delete(lim.teams, team)
		}
	}
}
