package eventlog

import "strings"

// JSONObject returns the JSON object in a log line without any text before it, such
// as a log collector's prefix. It reports false for a line without a JSON object.
func JSONObject(text string) (string, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return "", false
	}
	return strings.TrimSpace(text[start:]), true
}
