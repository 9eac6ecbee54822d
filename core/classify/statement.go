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
	Hints Hints
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

// pinningKeywords are the first keywords of statements that leave state on the
// connection.
var pinningKeywords = []string{"LISTEN", "UNLISTEN", "DECLARE", "PREPARE", "EXECUTE", "DEALLOCATE", "DISCARD", "LOAD", "COPY"}

// pinningFunctions are the functions that leave state on the connection.
var pinningFunctions = []string{"PG_ADVISORY_LOCK", "PG_ADVISORY_LOCK_SHARED", "PG_TRY_ADVISORY_LOCK", "PG_TRY_ADVISORY_LOCK_SHARED"}

// Classify classifies a query text. It ignores quoted text and comments other than
// hints.
func Classify(sql string) Statement {
	lex := newLexer(sql)
	tokens, count := lex.tokenize()
	st := Statement{Tokens: tokens, Count: count, Hints: lex.hints}
	st.Kind = kindOf(tokens, count)
	if st.Kind == Read && lex.ambiguous {
		st.Kind = Write
	}
	return st
}

func kindOf(tokens []string, count int) Kind {
	switch {
	case count == 0:
		return Empty
	case len(tokens) == 0:
		// Not a statement; the upstream reports the syntax error.
		return Write
	}
	if slices.ContainsFunc(tokens, func(token string) bool { return slices.Contains(pinningFunctions, token) }) {
		return Pinning
	}
	if slices.Contains(pinningKeywords, tokens[0]) {
		return Pinning
	}
	if createsTemporaryObject(tokens) {
		return Pinning
	}
	if count > 1 {
		return Write
	}
	return singleStatementKind(tokens)
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

func createsTemporaryObject(tokens []string) bool {
	if tokens[0] != "CREATE" || len(tokens) < 2 {
		return false
	}
	return slices.Contains([]string{"TEMP", "TEMPORARY"}, tokens[1])
}
