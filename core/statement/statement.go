// Package statement defines the requests of callers and the answers of upstreams,
// independent of any wire format. A caller protocol decodes bytes into a Statement; an
// upstream protocol encodes an Operation.
package statement

// Kind is the type of a Statement.
type Kind uint8

// The kinds of statements.
const (
	// Malformed is a statement that violates the protocol.
	Malformed Kind = iota
	// Begin opens a transaction, which ReadOnly may declare read-only.
	Begin
	// Commit commits a transaction.
	Commit
	// Rollback rolls back a transaction.
	Rollback
	// Read fetches one item.
	Read
	// Write stores one item.
	Write
	// Set sets a session parameter.
	Set
	// Prepare creates a prepared statement for the rest of the session.
	Prepare
	// Execute runs a prepared statement.
	Execute
	// Deallocate drops a prepared statement.
	Deallocate
)

var kindNames = [...]string{"malformed", "begin", "commit", "rollback", "read", "write", "set", "prepare", "execute", "deallocate"}

func (k Kind) String() string {
	if !KnownKind(uint32(k)) {
		return "unknown"
	}
	return kindNames[k]
}

// KnownKind reports whether this version knows the kind with a number that another host
// has sent.
func KnownKind(n uint32) bool { return n < uint32(len(kindNames)) }

// Shape is the definition of a prepared statement.
type Shape struct {
	// Write is set for a write and unset for a read.
	Write bool
	// Text is the statement without its arguments.
	Text string
}

// Statement is one request of a caller.
type Statement struct {
	Kind Kind
	// ID is the caller's request identifier. It is forwarded unchanged.
	ID string
	// Text is the original text of a statement that is forwarded unchanged.
	Text string
	// ReadOnly is set for a Begin that declares the transaction read-only.
	ReadOnly bool
	// Name is the name of a session parameter or of a prepared statement.
	Name string
	// Value is the new value of a session parameter, or the arguments of an Execute.
	Value string
	// Shape is set for a Prepare, and for an Execute by WithShape.
	Shape Shape
	// Problem describes why a statement is Malformed.
	Problem string
}

// WithShape returns a copy of an Execute with the shape of its prepared statement.
func (s Statement) WithShape(shape Shape) Statement {
	s.Shape = shape
	return s
}

// Writes reports whether running the statement changes data.
func (s Statement) Writes() bool {
	return s.Kind == Write || (s.Kind == Execute && s.Shape.Write)
}

// Reads reports whether the statement only reads data.
func (s Statement) Reads() bool {
	return s.Kind == Read || (s.Kind == Execute && !s.Shape.Write)
}

// RunKind returns the kind of the statement that a member runs: Read or Write for an Execute
// whose shape is known.
func (s Statement) RunKind() Kind {
	switch {
	case s.Writes():
		return Write
	case s.Reads():
		return Read
	}
	return s.Kind
}

// MessageKind is the type of a Message.
type MessageKind uint8

// The kinds of messages.
const (
	// Query carries a Statement.
	Query MessageKind = iota
	// Login opens a session for a database.
	Login
	// Terminate ends the session.
	Terminate
	// UnknownMessage is a message that the protocol does not define. The session cannot go on.
	UnknownMessage
)

// Message is one decoded message of a caller.
type Message struct {
	Kind      MessageKind
	Statement Statement
	// Database and Key are set for a Login. Key is the caller's API key.
	Database string
	Key      string
	// Code and Problem tell the caller why an UnknownMessage is refused.
	Code    Code
	Problem string
}
