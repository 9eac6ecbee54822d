// Package statement holds what callers ask for and what upstreams answer, free
// of any wire format. An adapter for a caller protocol decodes bytes into a
// Statement; an adapter for an upstream protocol encodes an Operation.
package statement

// Kind says what a statement does.
type Kind uint8

// The kinds of statements.
const (
	// Malformed is a message that no rule of the protocol allows.
	Malformed Kind = iota
	// Begin opens a transaction; ReadOnly tells which sort.
	Begin
	// Commit ends a transaction and keeps its writes.
	Commit
	// Rollback ends a transaction and drops its writes.
	Rollback
	// Read fetches one item.
	Read
	// Write stores one item.
	Write
	// Set changes a session value.
	Set
	// Prepare names a statement shape for the rest of the session.
	Prepare
	// Execute runs a prepared shape.
	Execute
	// Deallocate forgets a prepared name.
	Deallocate
)

var kindNames = [...]string{"malformed", "begin", "commit", "rollback", "read", "write", "set", "prepare", "execute", "deallocate"}

func (k Kind) String() string { return kindNames[k] }

// Shape is what a prepared name stands for.
type Shape struct {
	// Write tells a prepared write from a prepared read.
	Write bool
	// Text is the shape itself; two names with equal shapes run alike.
	Text string
}

// Statement is one request of a caller.
type Statement struct {
	Kind Kind
	// ID is the caller's identifier of the request. It is passed on unchanged.
	ID string
	// Text is the statement as the caller wrote it, for kinds that are passed
	// on unchanged.
	Text string
	// ReadOnly is set on a Begin that announces no writes.
	ReadOnly bool
	// Name is the session value or the prepared statement that is meant.
	Name string
	// Value is the new session value, or the arguments of an Execute.
	Value string
	// Shape is set on a Prepare.
	Shape Shape
	// Problem says what is wrong with a Malformed statement.
	Problem string
}

// Prepared returns the statement with the shape that its name stands for: an
// Execute turned into a read or a write.
func (s Statement) Prepared(shape Shape) Statement {
	s.Shape = shape
	return s
}

// Writes reports whether running the statement changes data.
func (s Statement) Writes() bool {
	return s.Kind == Write || (s.Kind == Execute && s.Shape.Write)
}

// Reads reports whether the statement fetches data.
func (s Statement) Reads() bool {
	return s.Kind == Read || (s.Kind == Execute && !s.Shape.Write)
}

// MessageKind says what a caller's message is.
type MessageKind uint8

// The kinds of messages.
const (
	// Query carries a Statement.
	Query MessageKind = iota
	// Login opens a session on a database.
	Login
	// Goodbye ends the session.
	Goodbye
	// Garbage is a message that the protocol does not know.
	Garbage
)

// Message is one message of a caller.
type Message struct {
	Kind      MessageKind
	Statement Statement
	// Database and Key belong to a Login; Key is what the caller proves itself
	// with.
	Database string
	Key      string
}
