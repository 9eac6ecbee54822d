package replicaset

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/connpool"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/session"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
)

// Request is one statement of a caller with the parameters of its execution.
// Times are on the clock of node/clock.
type Request struct {
	Statement statement.Statement
	// Values are the caller's session values.
	Values map[string]string
	// LastCommit is the position of the caller's latest commit in this service.
	LastCommit logpos.Position
	Route      catalog.Route
	// Team is the team on whose behalf members are contacted; empty for callers
	// without a team.
	Team string
	// ReadOnly is set if the transaction to begin was declared read-only.
	ReadOnly bool
	// Received is when this host got the statement, from the caller or from
	// another host.
	Received time.Duration
	// TargetDeadline is when the statement should have completed. OnTimeUntil is
	// when it starts to count as late in the queue for a connection. StartDeadline
	// is the latest useful start. Deadline is when the statement is abandoned.
	TargetDeadline, OnTimeUntil, StartDeadline, Deadline time.Duration
	// AttemptTimeout bounds one attempt of a read, not counting the wait for a
	// connection; zero for no bound other than Deadline.
	AttemptTimeout time.Duration
	// AdmitRerun asks for the right to run the statement on a member once more after it
	// may have run; nil allows it. The team's limit counts each run.
	AdmitRerun func(context.Context) bool
}

// attemptDeadline returns the deadline of a read attempt that starts now.
func (r Request) attemptDeadline(now time.Duration) time.Duration {
	if r.AttemptTimeout == 0 {
		return r.Deadline
	}
	return min(r.Deadline, now+r.AttemptTimeout)
}

// requestUntil returns a request of the proxy's own with a single deadline.
func requestUntil(deadline time.Duration) Request {
	return Request{TargetDeadline: deadline, OnTimeUntil: deadline, StartDeadline: deadline, Deadline: deadline}
}

func (r Request) waiter() connpool.Waiter {
	return connpool.Waiter{
		Priority: r.Route.Priority, Kind: r.Route.Database, TargetDeadline: r.TargetDeadline, OnTimeUntil: r.OnTimeUntil, StartDeadline: r.StartDeadline,
		Team: r.Team, SessionValues: session.ValuesKey(r.Values),
	}
}

// Outcome is an answer with details on how it was obtained, for logs and
// metrics.
type Outcome struct {
	Answer statement.Answer
	// Member is the last member that was tried.
	Member string
	// Primary is set if the member was assumed to be the primary.
	Primary bool
	// Gate is the host that ran the statement; empty for this one.
	Gate     string
	Attempts int
	// Runs counts the attempts in which a member has, or may have, run the statement.
	Runs int
	// Waited is the time until the last attempt acquired a connection.
	Waited time.Duration
	// ReplicaWait is the time spent waiting for a replica to catch up.
	ReplicaWait time.Duration
	// Floor is the minimum log position for a read; zero for a write or for a
	// JobPrimaryRead.
	Floor logpos.Position
	// Source is where a read was last sent and why.
	Source ReadSource
	// FailedRead tells what became of a read that a member failed.
	FailedRead FailedRead
	// Cause explains a failure.
	Cause string
}
