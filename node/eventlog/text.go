package eventlog

import (
	"strings"

	"github.com/rs/zerolog"
)

// maxTextBytes limits a text from outside in a log line: names and IDs that callers
// choose, answers of members and keys of the store may be as large as a message.
const maxTextBytes = 256

// Text returns a text from outside for a log line, cut if it is long.
func Text(text string) string { return shorten(text, maxTextBytes) }

// shorten returns at most limit bytes of a text, and an ellipsis in place of the rest.
func shorten(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	return strings.ToValidUTF8(text[:limit], "") + "…"
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
		return shorten(err.Error(), maxErrorBytes)
	}
}
