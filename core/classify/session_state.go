package classify

import "slices"

// stateKeywords are the first keywords of statements that leave state on the connection,
// or that need state which pooled connections do not keep.
var stateKeywords = []string{"LISTEN", "UNLISTEN", "PREPARE", "EXECUTE", "DEALLOCATE", "DISCARD", "LOAD", "COPY"}

// pinningFunctions are the functions that leave state on the connection.
var pinningFunctions = []string{"PG_ADVISORY_LOCK", "PG_ADVISORY_LOCK_SHARED", "PG_TRY_ADVISORY_LOCK", "PG_TRY_ADVISORY_LOCK_SHARED"}

// sessionState returns the keyword of one statement that leaves state on the connection
// when its transaction has ended; empty if there is none.
func sessionState(tokens []string) string {
	if i := slices.IndexFunc(tokens, func(token string) bool { return slices.Contains(pinningFunctions, token) }); i >= 0 {
		return tokens[i]
	}
	switch {
	case slices.Contains(stateKeywords, tokens[0]):
		return tokens[0]
	case setsParameter(tokens) && !setsForTransaction(tokens):
		return tokens[0]
	case slices.Contains(tokens, "SET_CONFIG") && !slices.Contains(tokens, "TRUE"):
		// The third argument says whether the parameter is set for the transaction only.
		return "SET_CONFIG"
	case tokens[0] == "DECLARE" && containsSequence(tokens, "WITH", "HOLD"):
		return "DECLARE"
	case createsTemporaryObject(tokens) && !containsSequence(tokens, "ON", "COMMIT", "DROP"):
		return "TEMPORARY"
	}
	return ""
}

// setsParameter reports whether a statement sets or resets a parameter.
func setsParameter(tokens []string) bool { return tokens[0] == "SET" || tokens[0] == "RESET" }

// setsForTransaction reports whether a parameter is set for the transaction only.
func setsForTransaction(tokens []string) bool {
	return tokens[0] == "SET" && len(tokens) > 1 && slices.Contains([]string{"LOCAL", "TRANSACTION", "CONSTRAINTS"}, tokens[1])
}

// needsOneConnection reports whether a statement is of use only if the statements after it
// run on the same connection.
func needsOneConnection(tokens []string) bool {
	return tokens[0] == "DECLARE" || createsTemporaryObject(tokens)
}

func createsTemporaryObject(tokens []string) bool {
	switch tokens[0] {
	case "SELECT":
		return containsSequence(tokens, "INTO", "TEMP") || containsSequence(tokens, "INTO", "TEMPORARY")
	case "CREATE":
		rest := tokens[1:]
		if containsSequence(rest[:min(2, len(rest))], "OR", "REPLACE") {
			rest = rest[2:]
		}
		if len(rest) > 0 && (rest[0] == "LOCAL" || rest[0] == "GLOBAL") {
			rest = rest[1:]
		}
		return len(rest) > 0 && (rest[0] == "TEMP" || rest[0] == "TEMPORARY")
	}
	return false
}

// containsSequence reports whether tokens contain others in a row.
func containsSequence(tokens []string, others ...string) bool {
	for i := 0; i+len(others) <= len(tokens); i++ {
		if slices.Equal(tokens[i:i+len(others)], others) {
			return true
		}
	}
	return false
}
