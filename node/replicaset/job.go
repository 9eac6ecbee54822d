package replicaset

import (
	"context"
	"errors"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
)

// JobKind is one step of a caller on one member.
type JobKind uint8

// The kinds of jobs.
const (
	// JobRead is a read at or past a floor.
	JobRead JobKind = iota
	// JobGuardedRead is a read during which the member must prove its lead.
	JobGuardedRead
	// JobWrite is a single write.
	JobWrite
	// JobBegin opens a transaction.
	JobBegin
	// JobStatement is a read or a write in an open transaction.
	JobStatement
	// JobCommit ends a transaction and keeps its writes.
	JobCommit
	// JobRollback drops a transaction.
	JobRollback
)

// Job is a step with all that decides how it is carried out, here or on the
// host that keeps the member's connections.
type Job struct {
	Kind   JobKind
	Member string
	Work   Work
	// Floor is the position that the sender knows a read must find.
	Floor logpos.Position
	// Plain asks JobBegin for a transaction that only the primary can run.
	Plain bool
	// Wrote tells JobCommit that there are writes.
	Wrote bool
	// Tx is the transaction of the later steps.
	Tx uint64
	// Owner names the host, and its incarnation, that opens a transaction.
	Owner string
}

// repeatable reports whether the job may be carried out twice. A transaction
// that was begun in vain is rolled back where it was begun.
func (j Job) repeatable() bool {
	return j.Kind == JobRead || j.Kind == JobGuardedRead || j.Kind == JobBegin
}

// needsFloor reports whether the job is a read of a replica that came without a
// floor.
func (j Job) needsFloor() bool {
	return (j.Kind == JobRead || (j.Kind == JobBegin && !j.Plain)) && j.Floor.IsZero()
}

// needsLead reports whether only the primary can carry the job out.
func (j Job) needsLead() bool {
	return j.Kind == JobGuardedRead || j.Kind == JobWrite || (j.Kind == JobBegin && j.Plain)
}

// Result is what came of a job.
type Result struct {
	Answer statement.Answer
	// Err is why there is no answer: a *RefusedError, *ConnectError, *LostError
	// or *GateError.
	Err error
	// Handed is set once the member may have got the caller's statement.
	Handed bool
	// Proof is set when only the primary could answer like this.
	Proof bool
	Tx    uint64
	// Waited is the time before a connection was had.
	Waited time.Duration
	// Floor is the newest that another host knew that carried the job out, or
	// refused it; zero for a job of this host.
	Floor Floor
}

// Remote runs jobs on other hosts. An error of the way there is a *GateError.
type Remote interface {
	Run(ctx context.Context, address, service string, j Job) Result
	// Alive asks a host for a sign of life, which takes it no work, and waits
	// shortly for it.
	Alive(ctx context.Context, address string) bool
	// Drop closes the connections to a host, so that what waits there fails.
	Drop(address string)
}

// GateError is a job that another host did not answer.
type GateError struct {
	Address string
	// Sent tells that the other host may have got the job.
	Sent bool
	Err  error
}

func (e *GateError) Error() string { return "host " + e.Address + ": " + e.Err.Error() }

func (e *GateError) Unwrap() error { return e.Err }

// gateError returns the failure of the way to another host, if that is why
// there is no answer.
func (r Result) gateError() (*GateError, bool) {
	var gate *GateError
	failed := errors.As(r.Err, &gate)
	return gate, failed
}
