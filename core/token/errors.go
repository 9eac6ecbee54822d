package token

import "fmt"

// DecodeError reports a text that is not a valid session token.
type DecodeError struct {
	Reason string
}

func (e *DecodeError) Error() string { return "session token is malformed: " + e.Reason }

// LimitError reports a token that would exceed a limit.
type LimitError struct {
	Unit  string
	Limit int
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("session token: more than %d %s", e.Limit, e.Unit)
}
