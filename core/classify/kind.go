// Package classify determines from the text of an SQL statement how it is routed. It
// is conservative: unknown statements go to the primary. A replica rejects a
// misclassified write with SQLSTATE 25006, so a wrong classification costs a retry on
// the primary and never yields a wrong result.
package classify

// Kind determines how a statement is routed.
type Kind uint8

// The kinds of statement.
const (
	// Write may change data and runs on the primary. It is the zero value, which is
	// safe for every statement that runs on a pooled connection.
	Write Kind = iota
	// Read may run on any member that satisfies the consistency level of the session.
	Read
	// Begin opens a transaction that may write.
	Begin
	// BeginRead opens a transaction declared READ ONLY.
	BeginRead
	// End commits or rolls back a transaction. A rollback to a savepoint is a Write.
	End
	// Set changes a session parameter.
	Set
	// Show reads a session parameter.
	Show
	// Pinning leaves state on the connection, so it cannot run on a pooled connection.
	Pinning
	// Empty is a query text without a statement.
	Empty
)

var kindNames = map[Kind]string{
	Write: "write", Read: "read", Begin: "begin", BeginRead: "begin-read",
	End: "end", Set: "set", Show: "show", Pinning: "pinning", Empty: "empty",
}

func (k Kind) String() string { return kindNames[k] }
