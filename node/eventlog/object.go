package eventlog

import "strings"

// Object returns the JSON object in a line of a log. Whatever stands before it,
// such as a collector's prefix, is passed over. It reports false for a line without
// one.
func Object(text string) (string, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return "", false
	}
	return strings.TrimSpace(text[start:]), true
}
