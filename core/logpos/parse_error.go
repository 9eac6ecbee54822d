package logpos

import "fmt"

// ParseError reports a text that is not a position or a history.
type ParseError struct {
	Text string
}

func (e *ParseError) Error() string {
	return fmt.Sprintf("logpos: %q is not of the form term/offset", e.Text)
}
