package statement

import "github.com/dotterelswitch/dotterelswitch/core/logpos"

// Verb is what an upstream is asked to do.
type Verb uint8

// The verbs.
const (
	// Forward passes a caller's statement on unchanged.
	Forward Verb = iota
	// Start opens a transaction on behalf of a caller.
	Start
	// Undo rolls a transaction back.
	Undo
	// Assign sets a session value.
	Assign
	// Define prepares a shape under a name.
	Define
	// RunDefined executes a prepared name with a caller's arguments.
	RunDefined
	// Clear drops all session values and prepared names.
	Clear
	// ReportStatus asks for a Status.
	ReportStatus
	// PauseReplication makes a replica stop receiving, for an election.
	PauseReplication
	// ResumeReplication undoes PauseReplication.
	ResumeReplication
	// StepDown makes a primary of an older term a replica.
	StepDown
)

// Operation is one message to an upstream.
type Operation struct {
	Verb Verb
	// ID is the caller's identifier; empty on the system's own operations.
	ID string
	// Text is the caller's statement for Forward and its arguments for
	// RunDefined.
	Text string
	// After makes a read or the start of a transaction fail unless the log
	// holds this position; zero asks for nothing.
	After logpos.Position
	// ReadOnly is for Start.
	ReadOnly bool
	// Name is a session value or a prepared name.
	Name  string
	Value string
	Shape Shape
	Term  logpos.Term
}

// Status is what a member reports of itself.
type Status struct {
	Primary bool
	// Term is the newest term that the member knows.
	Term logpos.Term
	// Received is the end of the member's log, applied or not.
	Received logpos.Position
	// HeldTerm is the term that a PauseReplication named; zero for none.
	HeldTerm logpos.Term
	// LagMillis is how far, in milliseconds, what it applied is behind.
	LagMillis   int
	Busy        int
	Connections int
}
