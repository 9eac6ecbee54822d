// Package exit maps errors to process exit statuses.
package exit

import (
	"errors"
	"strings"

	"github.com/dotterelswitch/dotterelswitch/node/settings"
)

// Exit statuses other than 0.
const (
	// Failure is returned for any error at run time.
	Failure = 1
	// Usage is returned for an invalid argument or setting; nothing was run.
	Usage = 2
)

// UsageError reports invalid command-line arguments.
type UsageError struct{ Text string }

func (e *UsageError) Error() string { return e.Text }

// Status returns the exit status for an error.
func Status(err error) int {
	var usage *UsageError
	var invalid *settings.InvalidError
	if errors.As(err, &usage) || errors.As(err, &invalid) || isFlagError(err) {
		return Usage
	}
	return Failure
}

// isFlagError recognizes the errors of the command-line library by their text,
// because they share no type.
func isFlagError(err error) bool {
	text := err.Error()
	return strings.HasPrefix(text, "flag provided but not defined") ||
		strings.HasPrefix(text, "invalid value") ||
		strings.HasPrefix(text, "flag needs an argument") ||
		strings.HasPrefix(text, "could not parse") ||
		strings.HasPrefix(text, "Required flag")
}
