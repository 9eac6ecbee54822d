package explain

import (
	"cmp"
	"regexp"
	"slices"
	"strings"

	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// Group is the failed statements that ended alike for the same reason.
type Group struct {
	Code, Cause string
	Count       int
	// Example is the id of the first of them.
	Example string
}

// address matches an IPv4 address with a port, which tells one failure from
// another of the same kind.
var address = regexp.MustCompile(`\d+\.\d+\.\d+\.\d+:\d+`)

// reason returns a line's cause without the names of members and hosts.
func reason(l Line) string {
	text := address.ReplaceAllString(l.Cause, "ADDRESS")
	if l.Upstream != "" {
		text = strings.ReplaceAll(text, l.Upstream, "UPSTREAM")
	}
	if text == "" {
		return "no cause is logged"
	}
	return text
}

// Summarize groups the failed statements of all lines by code and cause, the
// most frequent first.
func Summarize(lines []Line) []Group {
	type key struct{ code, cause string }
	at := map[key]int{}
	var groups []Group
	for _, l := range lines {
		if l.Name != eventlog.StatementFailed.Name {
			continue
		}
		k := key{l.Code, reason(l)}
		i, found := at[k]
		if !found {
			i = len(groups)
			at[k] = i
			groups = append(groups, Group{Code: k.code, Cause: k.cause, Example: l.Request})
		}
		groups[i].Count++
	}
	slices.SortStableFunc(groups, func(a, b Group) int { return cmp.Compare(b.Count, a.Count) })
	return groups
}
