package connpool

import "time"

// OnTimeWaitFraction is the fraction of its latency target for which a statement may
// wait for a connection and still count as on time. Under overload, serving late
// statements first would make the ones behind them late too, so they are served
// after those that are on time.
const OnTimeWaitFraction = 0.5

// Waiter is a statement that needs a connection.
type Waiter struct {
	ID uint64
	// Team is the team that the statement belongs to. It needs a connection that was
	// opened for this team.
	Team string
	// AnyTeam allows the use of any team's connection, for statements of the proxy
	// itself.
	AnyTeam bool
	// Priority is the priority class; 0 is the highest.
	Priority int
	// TargetDeadline is when the statement's latency target ends. Among statements
	// that are on time, and of the same ExtraExecutionTime, the earliest goes first.
	TargetDeadline time.Duration
	// Kind names the kind of statement. The pool does not interpret it.
	Kind string
	// ExtraExecutionTime is by how much the expected execution time exceeds that of the
	// fastest kind of statement.
	ExtraExecutionTime time.Duration
	// OnTimeUntil is when the statement becomes late. Late statements are served
	// after all that are on time.
	OnTimeUntil time.Duration
	// StartDeadline is the latest time at which the statement may be started.
	StartDeadline time.Duration
	// SessionValues identifies the session values that the statement requires.
	SessionValues string
}

// extraExecutionTimeFactor is by how much a statement's effective deadline is later
// per unit of ExtraExecutionTime. Preferring short statements lets an overloaded slot
// serve more callers; too large a factor starves long statements, as 200 did with
// statements of 15 ms beside others of 9 ms.
const extraExecutionTimeFactor = 50

// effectiveDeadline returns the sort key of statements of the same priority that
// are all on time or all late.
func (w Waiter) effectiveDeadline() time.Duration {
	return w.TargetDeadline + extraExecutionTimeFactor*w.ExtraExecutionTime
}

// before reports whether w is served before v: by priority, then on-time before
// late statements, then by effective deadline.
func (w Waiter) before(v Waiter, now time.Duration) bool {
	if w.Priority != v.Priority {
		return w.Priority < v.Priority
	}
	wOnTime, vOnTime := w.OnTimeUntil >= now, v.OnTimeUntil >= now
	if wOnTime != vOnTime {
		return wOnTime
	}
	return w.effectiveDeadline() < v.effectiveDeadline()
}

// canUse reports whether the statement may run on a connection of the given team.
func (w Waiter) canUse(team string) bool { return w.AnyTeam || w.Team == team }

// teamSwitchMargin is by how much the target deadline of another team's statement
// must be earlier for a freed connection to be replaced rather than reused by its own
// team. It avoids opening a connection for each statement, but does not let a team
// with a permanent backlog keep its connections indefinitely. It is about the time of
// five new connections.
const teamSwitchMargin = 60 * time.Millisecond

// precedesWithSwitch reports whether w, which needs a connection of another team, is
// served before other, which can use the current connection.
func (w Waiter) precedesWithSwitch(other Waiter, now time.Duration) bool {
	w.TargetDeadline += teamSwitchMargin
	return w.before(other, now)
}

// nextWaiter returns the index of the matching waiter that is served next.
func nextWaiter(waiting []Waiter, now time.Duration, match func(Waiter) bool) (int, bool) {
	best := -1
	for i, w := range waiting {
		if match(w) && (best < 0 || w.before(waiting[best], now)) {
			best = i
		}
	}
	return best, best >= 0
}
