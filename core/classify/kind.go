// Package classify decides from the text of a statement where it may run. It
// is conservative: what it does not know goes to the primary. A replica that
// is given a write by mistake answers SQLSTATE 25006, so a wrong guess costs a
// second trip and never a wrong result.
package classify

// Kind says how a statement is routed.
type Kind uint8

// The kinds of statement.
const (
	// Write goes to the primary; it may change data.
	Write Kind = iota
	// Read may run on any member that is fresh enough.
	Read
	// Begin opens a transaction that may write.
	Begin
	// BeginRead opens a transaction declared READ ONLY.
	BeginRead
	// End closes a transaction.
	End
	// Set changes a setting of the session.
	Set
	// Show reads a setting of the session.
	Show
	// Pinning leaves state behind on the connection and cannot be pooled.
	Pinning
	// Empty holds no statement.
	Empty
)

var kindNames = map[Kind]string{
	Write: "write", Read: "read", Begin: "begin", BeginRead: "begin-read",
	End: "end", Set: "set", Show: "show", Pinning: "pinning", Empty: "empty",
}

func (k Kind) String() string { return kindNames[k] }
