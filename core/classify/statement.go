package classify

import "slices"

// Statement is what the classifier found out about one query text.
type Statement struct {
	Kind Kind
	// Words are the keywords and identifiers in upper case, for Set and Show.
	Words []string
	// Count is the number of statements in the text.
	Count int
	// Hints are the pairs of a dotterelswitch comment.
	Hints Hints
}

// writingWords make a SELECT or WITH go to the primary.
var writingWords = []string{
	"INSERT", "UPDATE", "DELETE", "MERGE", "INTO", "SHARE", "NEXTVAL", "SETVAL",
	"SET_CONFIG", "LO_CREATE", "LO_UNLINK", "PG_NOTIFY", "DBLINK_EXEC",
}

// pinningWords begin statements that leave state on the connection.
var pinningWords = []string{"LISTEN", "UNLISTEN", "DECLARE", "PREPARE", "EXECUTE", "DEALLOCATE", "DISCARD", "LOAD", "COPY"}

// pinningCalls are functions whose effect lasts as long as the connection.
var pinningCalls = []string{"PG_ADVISORY_LOCK", "PG_ADVISORY_LOCK_SHARED", "PG_TRY_ADVISORY_LOCK", "PG_TRY_ADVISORY_LOCK_SHARED"}

// Classify reads a query text. Text inside quotes and comments is ignored but
// for hints.
func Classify(sql string) Statement {
	lex := newLexer(sql)
	words, count := lex.run()
	st := Statement{Words: words, Count: count, Hints: lex.hints}
	st.Kind = kindOf(words, count)
	return st
}

func kindOf(words []string, count int) Kind {
	if len(words) == 0 {
		return Empty
	}
	if slices.ContainsFunc(words, func(w string) bool { return slices.Contains(pinningCalls, w) }) {
		return Pinning
	}
	if slices.Contains(pinningWords, words[0]) {
		return Pinning
	}
	if createsTemporary(words) {
		return Pinning
	}
	if count > 1 {
		return Write
	}
	return singleKind(words)
}

func singleKind(words []string) Kind {
	switch words[0] {
	case "BEGIN", "START":
		return beginKind(words)
	case "COMMIT", "END", "ROLLBACK", "ABORT":
		if slices.Contains(words, "TO") {
			return Write
		}
		return End
	case "SET", "RESET":
		return Set
	case "SHOW":
		return Show
	case "SELECT", "WITH", "VALUES", "TABLE":
		return queryKind(words)
	default:
		return Write
	}
}

func beginKind(words []string) Kind {
	for i := 0; i+1 < len(words); i++ {
		if words[i] == "READ" && words[i+1] == "ONLY" {
			return BeginRead
		}
	}
	return Begin
}

// queryKind tells a query that only reads from one that locks or writes. FOR
// alone is no sign: it is also part of SUBSTRING(x FOR n).
func queryKind(words []string) Kind {
	for _, w := range words {
		if slices.Contains(writingWords, w) {
			return Write
		}
	}
	return Read
}

func createsTemporary(words []string) bool {
	if words[0] != "CREATE" || len(words) < 2 {
		return false
	}
	return slices.Contains([]string{"TEMP", "TEMPORARY"}, words[1])
}
