package replicaset

import (
	"context"
	"errors"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/gateload"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/outlier"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
)

// JobKind is the kind of a Job.
type JobKind uint8

const (
	// JobRead is a read at or past a floor.
	JobRead JobKind = iota
	// JobPrimaryRead is a read that only the current primary can answer.
	JobPrimaryRead
	// JobWrite is a single write outside a transaction.
	JobWrite
	JobBegin
	// JobStatement is a read or a write in an open transaction.
	JobStatement
	JobCommit
	JobRollback
	numJobKinds
)

// KnownJobKind reports whether this version knows the kind with a number that another host
// has sent.
func KnownJobKind(n uint32) bool { return n < uint32(numJobKinds) }

// Job is one step of a caller's work on one member, such as a read, a write or the
// begin of a transaction, with its parameters. It runs on this host or on a gate of
// the member.
type Job struct {
	Kind    JobKind
	Member  string
	Request Request
	// Floor is the minimum log position for a read, as known to the sender;
	// zero if it knows none.
	Floor logpos.Position
	// RequirePrimary makes JobBegin open a transaction that only the primary
	// can run.
	RequirePrimary bool
	// Wrote is set on a JobCommit whose transaction has writes.
	Wrote bool
	// Tx identifies the open transaction of a JobStatement, JobCommit or
	// JobRollback.
	Tx uint64
	// Owner identifies the host, with its incarnation, that opens a
	// transaction.
	Owner string
	// IgnoreEjection makes a gate run a read although it has ejected the member.
	IgnoreEjection bool
}

// repeatable reports whether the job may run twice. If a transaction was opened
// twice, the gate that gets no further job for its copy rolls that copy back.
func (j Job) repeatable() bool {
	return j.Kind == JobRead || j.Kind == JobPrimaryRead || j.Kind == JobBegin
}

// needsFloor reports whether the job reads from a replica and came without a
// floor.
func (j Job) needsFloor() bool {
	return (j.Kind == JobRead || (j.Kind == JobBegin && !j.RequirePrimary)) && j.Floor.IsZero()
}

// requiresPrimary reports whether only the primary can run the job.
func (j Job) requiresPrimary() bool {
	return j.Kind == JobPrimaryRead || j.Kind == JobWrite || (j.Kind == JobBegin && j.RequirePrimary)
}

// Result is the result of a job.
type Result struct {
	Answer statement.Answer
	// Err is the reason for a missing answer: a *RefusedError, *ConnectError,
	// *NoResponseError or *GateError.
	Err error
	// StatementMayHaveRun is set once the member may have received the caller's
	// statement.
	StatementMayHaveRun bool
	// ConfirmsPrimary is set when only the primary could have given this answer.
	ConfirmsPrimary bool
	Tx              uint64
	// Waited is the time until a connection was acquired.
	Waited time.Duration
	// Floor is the latest floor known to the other host that ran or refused the
	// job; zero for a local job.
	Floor Floor
	// Load is the load of the gate that ran or refused the job; nil if it reported none.
	Load *gateload.Report
	// Ejection is the gate's verdict on the member; zero if it has not ejected it.
	Ejection outlier.Ejection
}

// Remote runs jobs on other hosts. Transport failures are returned as
// *GateError.
type Remote interface {
	Run(ctx context.Context, address, service string, j Job) Result
	// Alive pings a host, with a short timeout.
	Alive(ctx context.Context, address string) bool
	// Drop closes the connections to a host, which fails the calls in progress
	// there.
	Drop(address string)
}

// GateError reports a job that another host did not answer.
type GateError struct {
	Address string
	// JobMayHaveArrived is set if the other host may have received the job.
	JobMayHaveArrived bool
	Err               error
}

func (e *GateError) Error() string { return "host " + e.Address + ": " + e.Err.Error() }

func (e *GateError) Unwrap() error { return e.Err }

// gateError returns the *GateError that is the reason for a missing answer, if it
// is one.
func (r Result) gateError() (*GateError, bool) {
	var gateErr *GateError
	isGateErr := errors.As(r.Err, &gateErr)
	return gateErr, isGateErr
}
