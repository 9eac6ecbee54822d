package replicaset

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/connpool"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/session"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
)

// Work is one statement of a caller with all that decides how it is run. Times
// are on the clock of node/clock.
type Work struct {
	Statement statement.Statement
	// Values are the caller's session values.
	Values map[string]string
	// Committed is the caller's newest commit in this service.
	Committed logpos.Position
	Route     catalog.Route
	// Team is in whose name members are asked; empty where callers have none.
	Team string
	// ReadOnly tells that the transaction to begin announced no writes.
	ReadOnly bool
	// Received is when this host got the statement, from the caller or from
	// another host.
	Received time.Duration
	// AimBy is when it should have ended, FreshBy until when it is served in its
	// turn, StartBy the latest start that is of use, and EndBy when its time is
	// over.
	AimBy, FreshBy, StartBy, EndBy time.Duration
	// AttemptTime bounds one attempt of a read once it has a connection.
	AttemptTime time.Duration
}

// attemptEnd returns when an attempt of a read that starts now is given up.
func (w Work) attemptEnd(now time.Duration) time.Duration {
	if w.AttemptTime == 0 {
		return w.EndBy
	}
	return min(w.EndBy, now+w.AttemptTime)
}

// until bounds all of a statement's times, for one that serves the system.
func until(at time.Duration) Work {
	return Work{AimBy: at, FreshBy: at, StartBy: at, EndBy: at}
}

func (w Work) waiter() connpool.Waiter {
	return connpool.Waiter{
		Priority: w.Route.Priority, Kind: w.Route.Database, TargetDeadline: w.AimBy, OnTimeUntil: w.FreshBy, StartDeadline: w.StartBy,
		Team: w.Team, SessionValues: session.ValuesKey(w.Values),
	}
}

// Outcome is an answer and where it came from, for logs and metrics.
type Outcome struct {
	Answer statement.Answer
	// Member is the last member that was tried.
	Member string
	// Primary tells that the member was taken for the primary.
	Primary bool
	// Gate is the host that ran it; empty for this one.
	Gate     string
	Attempts int
	// Waited is the time before the last attempt had a connection.
	Waited time.Duration
	// Held is the time for which the statement was held until a replica caught up.
	Held time.Duration
	// Floor is the position that a read had to find; zero when the primary had
	// to prove its lead instead, or for a write.
	Floor logpos.Position
	// Source tells where a read was sent last, and why.
	Source ReadSource
	// Cause explains a failure.
	Cause string
}
