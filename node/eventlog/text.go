package eventlog

import (
	"strings"

	"github.com/rs/zerolog"
)

// maxTextBytes limits a text from outside in a log line: names and IDs that callers
// choose, answers of members and keys of the store may be as large as a message.
const maxTextBytes = 256

// Text returns a text from outside for a log line, cut if it is long.
func Text(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxTextBytes], "") + "…"
}

// maxErrorBytes limits an error in a log line. It has room for an address and the errors
// that it wraps, each with a text from outside.
const maxErrorBytes = 1024

// init limits the errors in all log lines, since an error may quote what has come from
// outside.
func init() {
	zerolog.ErrorMarshalFunc = func(err error) any {
		if err == nil {
			return nil
		}
		text := err.Error()
		if len(text) <= maxErrorBytes {
			return text
		}
		return strings.ToValidUTF8(text[:maxErrorBytes], "") + "…"
	}
}
