package explain

import (
	"cmp"
	"regexp"
	"slices"
	"strings"

	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// FailureGroup counts the failed statements with the same code and cause.
type FailureGroup struct {
	Code, Cause string
	Count       int
	// Example is the request id of the first one.
	Example string
}

// addressPattern matches an IPv4 address with a port.
var addressPattern = regexp.MustCompile(`\d+\.\d+\.\d+\.\d+:\d+`)

// normalizedCause returns a line's cause with the member's name and all addresses
// replaced by placeholders, so that equal causes are counted together.
func normalizedCause(l Line) string {
	text := addressPattern.ReplaceAllString(l.Cause, "ADDRESS")
	if l.Upstream != "" {
		text = strings.ReplaceAll(text, l.Upstream, "UPSTREAM")
	}
	if text == "" {
		return "no cause is logged"
	}
	return text
}

// Summarize groups the failed statements in lines by code and cause, most frequent
// first.
func Summarize(lines []Line) []FailureGroup {
	type key struct{ code, cause string }
	index := map[key]int{}
	var groups []FailureGroup
	for _, l := range lines {
		if l.Name != eventlog.StatementFailed.Name {
			continue
		}
		k := key{l.Code, normalizedCause(l)}
		i, found := index[k]
		if !found {
			i = len(groups)
			index[k] = i
			groups = append(groups, FailureGroup{Code: k.code, Cause: k.cause, Example: l.Request})
		}
		groups[i].Count++
	}
	slices.SortStableFunc(groups, func(a, b FailureGroup) int { return cmp.Compare(b.Count, a.Count) })
	return groups
}
