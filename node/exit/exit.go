// Package exit maps errors to the exit statuses of the commands.
package exit

import (
	"errors"
	"strings"

	"github.com/dotterelswitch/dotterelswitch/node/settings"
)

// The exit statuses, besides 0 for success.
const (
	// Failure is any failure at run time.
	Failure = 1
	// Usage is a wrong argument or setting; nothing was done.
	Usage = 2
)

// UsageError reports arguments that are not allowed.
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

// isFlagError recognises the command-line library's own errors, which have no
// type in common.
func isFlagError(err error) bool {
	text := err.Error()
	return strings.HasPrefix(text, "flag provided but not defined") ||
		strings.HasPrefix(text, "invalid value") ||
		strings.HasPrefix(text, "flag needs an argument") ||
		strings.HasPrefix(text, "could not parse") ||
		strings.HasPrefix(text, "Required flag")
}
