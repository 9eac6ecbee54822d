package connpool

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/slotqueue"
)

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
	// Fresh requires a connection that is opened after the statement has queued.
	Fresh bool
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

// statement returns what decides on the order of a waiter.
func (w Waiter) statement() slotqueue.Statement {
	return slotqueue.Statement{
		ID: w.ID, Team: w.Team, Priority: w.Priority, OnTimeUntil: w.OnTimeUntil,
		Deadline: w.TargetDeadline + extraExecutionTimeFactor*w.ExtraExecutionTime,
	}
}

// canUse reports whether the statement may run on a connection of the given team that others
// have used.
func (w Waiter) canUse(team string) bool { return !w.Fresh && w.matches(team) }

// matches reports whether the statement may run on a new connection of the given team.
func (w Waiter) matches(team string) bool { return w.AnyTeam || w.Team == team }

// teamSwitchMargin is by how much the target deadline of another team's statement
// must be earlier for a freed connection to be replaced rather than reused by its own
// team. It avoids opening a connection for each statement, but does not let a team
// with a permanent backlog keep its connections indefinitely. It is about the time of
// five new connections.
const teamSwitchMargin = 60 * time.Millisecond
