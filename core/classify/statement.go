package classify

import "slices"

// Statement is the classification of one query text.
type Statement struct {
	Kind Kind
	// Tokens are the keywords and unquoted identifiers, in upper case. Literals,
	// quoted identifiers and operators are left out.
	Tokens []string
	// Count is the number of statements in the text.
	Count int
	// SessionState is the keyword of the first statement that leaves state on the
	// connection when its transaction has ended; empty if none does.
	SessionState string
	Hints        Hints
}

// writeKeywords make a SELECT or WITH a write or locking query.
var writeKeywords = []string{"INSERT", "UPDATE", "DELETE", "MERGE", "INTO", "SHARE"}

// writeFunctions are built-in functions that write, or whose repetition has an effect.
var writeFunctions = []string{
	"NEXTVAL", "SETVAL", "SET_CONFIG", "PG_NOTIFY", "PG_LOGICAL_EMIT_MESSAGE",
	"LO_CREATE", "LO_CREAT", "LO_UNLINK", "LO_IMPORT", "LO_PUT", "LO_FROM_BYTEA", "LO_TRUNCATE", "LO_TRUNCATE64", "LOWRITE",
	"TXID_CURRENT", "PG_CURRENT_XACT_ID", "PG_TERMINATE_BACKEND", "PG_CANCEL_BACKEND",
	"DBLINK", "DBLINK_EXEC", "DBLINK_SEND_QUERY",
}

// isRelevantFunction reports whether the classification depends on a function.
func isRelevantFunction(token string) bool {
	return slices.Contains(writeFunctions, token) || slices.Contains(pinningFunctions, token)
}

// Classify classifies a query text. It ignores quoted text and comments other than
// hints.
func Classify(sql string) Statement {
	lex := newLexer(sql)
	tokens, count := lex.tokenize()
	st := Statement{Tokens: tokens, Count: count, Hints: lex.hints}
	for _, statement := range lex.statements() {
		if st.SessionState == "" {
			st.SessionState = sessionState(statement)
		}
	}
	st.Kind = kindOf(st)
	if st.Kind == Read && lex.ambiguous {
		st.Kind = Write
	}
	return st
}

func kindOf(st Statement) Kind {
	switch {
	case st.Count == 0:
		return Empty
	case len(st.Tokens) == 0:
		// Not a statement; the upstream reports the syntax error.
		return Write
	case st.Count > 1 && st.SessionState != "":
		return Pinning
	case st.Count > 1:
		return Write
	case st.SessionState != "" && !setsParameter(st.Tokens), needsOneConnection(st.Tokens):
		return Pinning
	}
	return singleStatementKind(st.Tokens)
}

func singleStatementKind(tokens []string) Kind {
	switch tokens[0] {
	case "BEGIN", "START":
		return beginKind(tokens)
	case "COMMIT", "END", "ROLLBACK", "ABORT":
		if slices.Contains(tokens, "TO") {
			return Write
		}
		return End
	case "SET", "RESET":
		return Set
	case "SHOW":
		return Show
	case "SELECT", "WITH", "VALUES", "TABLE":
		return queryKind(tokens)
	default:
		return Write
	}
}

func beginKind(tokens []string) Kind {
	for i := 0; i+1 < len(tokens); i++ {
		if tokens[i] == "READ" && tokens[i+1] == "ONLY" {
			return BeginRead
		}
	}
	return Begin
}

// queryKind distinguishes read-only queries from those that lock or write. FOR alone
// does not indicate a lock, as in SUBSTRING(x FOR n).
func queryKind(tokens []string) Kind {
	for _, token := range tokens {
		if slices.Contains(writeKeywords, token) || slices.Contains(writeFunctions, token) {
			return Write
		}
	}
	return Read
}
