package statement

import "github.com/dotterelswitch/dotterelswitch/core/logpos"

// Verb is the type of an Operation.
type Verb uint8

// The verbs.
const (
	// Forward sends a caller's statement unchanged.
	Forward Verb = iota
	// StartTransaction opens a transaction on behalf of a caller.
	StartTransaction
	// RollbackTransaction rolls back the open transaction.
	RollbackTransaction
	// SetParameter sets a session parameter.
	SetParameter
	// PrepareStatement creates a prepared statement.
	PrepareStatement
	// ExecutePrepared executes a prepared statement with a caller's arguments.
	ExecutePrepared
	// ResetSession discards all session parameters and prepared statements.
	ResetSession
	// ReportStatus requests the Status of a member.
	ReportStatus
	// PauseReplication makes a replica stop receiving the log during a failover.
	PauseReplication
	// ResumeReplication undoes PauseReplication.
	ResumeReplication
	// StepDown demotes a primary of an older term to a replica.
	StepDown
)

var verbNames = [...]string{
	"forward", "start_transaction", "rollback", "set", "prepare", "execute", "reset", "status", "pause", "resume", "step_down",
}

func (v Verb) String() string {
	if int(v) >= len(verbNames) {
		return "unknown"
	}
	return verbNames[v]
}

// Operation is one request to an upstream.
type Operation struct {
	Verb Verb
	// Kind is Read, Write or Commit for the statement of a caller that Forward or
	// ExecutePrepared runs.
	Kind Kind
	// ID is the caller's request identifier; empty for operations of the proxy itself.
	ID string
	// Text is the caller's statement for Forward and the arguments for
	// ExecutePrepared.
	Text string
	// MinPosition is the log position that a member must have applied to run a read or
	// start a transaction; zero means no requirement.
	MinPosition logpos.Position
	// ReadOnly declares a StartTransaction read-only.
	ReadOnly bool
	// SoleRead is set for a read that is the only statement of its transaction, which is
	// rolled back.
	SoleRead bool
	// Name is the name of a session parameter or of a prepared statement.
	Name  string
	Value string
	Shape Shape
	Term  logpos.Term
}

// Status is a member's answer to ReportStatus.
type Status struct {
	Primary bool
	// Term is the latest term that the member knows.
	Term logpos.Term
	// Received is the end of the member's received log, applied or not.
	Received logpos.Position
	// PausedTerm is the term for which replication is paused; zero if it is not.
	PausedTerm logpos.Term
	// LagMillis is the replication lag of the applied log in milliseconds.
	LagMillis   int
	BusySlots   int
	Connections int
}
