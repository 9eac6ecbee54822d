package explain

import (
	"fmt"
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// before is how far back a story looks for what led to a failure: longer than
// a failover, and than a replica stays behind.
const before = 10 * time.Second

// Story is what the logs tell of one request.
type Story struct {
	// Lines are those of the request and those that led to it, in order.
	Lines []Line
	// Verdict says what happened, in a sentence or two.
	Verdict string
}

// Tell picks the story of a request out of all lines. It reports false when no
// line names the request.
func Tell(lines []Line, request string) (Story, bool) {
	var own []Line
	for _, l := range lines {
		if l.Request == request {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return Story{}, false
	}
	var story Story
	for _, l := range lines {
		if l.Request == request || slices.ContainsFunc(own, func(o Line) bool { return ledTo(l, o) }) {
			story.Lines = append(story.Lines, l)
		}
	}
	slices.SortStableFunc(story.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	story.Verdict = verdict(own[len(own)-1], story.Lines)
	return story, true
}

// ledTo reports whether a line may explain a later one: it is about the same
// member, or about what the same host knew of the platform.
func ledTo(l, o Line) bool {
	if l.Request != "" || l.Time.After(o.Time) || o.Time.Sub(l.Time) > before {
		return false
	}
	if l.Upstream != "" && l.Upstream == o.Upstream {
		return true
	}
	if l.Name == eventlog.PrimaryChanged.Name || l.Name == eventlog.LockTaken.Name || l.Name == eventlog.Promoted.Name {
		return l.Host == o.Host
	}
	return l.Host == o.Host && (l.Name == eventlog.PlatformUnreached.Name || l.Name == eventlog.Stopping.Name)
}

// verdict names the cause of a failure.
func verdict(failed Line, lines []Line) string {
	if failed.Name != eventlog.StatementFailed.Name {
		return "The statement succeeded."
	}
	text := fmt.Sprintf("The statement failed with %s: %s.", failed.Code, failed.Cause)
	suspected, changed := false, false
	for _, l := range lines {
		suspected = suspected || l.Name == eventlog.UpstreamSuspected.Name || l.Name == eventlog.PrimaryReported.Name
		changed = changed || l.Name == eventlog.PrimaryChanged.Name
	}
	switch {
	case failed.Cause == eventlog.ReasonQuota:
		text += " Its team has used up the limit that the operators have set, over all hosts; no member was asked."
	case failed.Code == statement.Unauthorized.String():
		text += " No team of the configuration that was in force holds the caller's key."
	case failed.Cause == eventlog.ReasonFull && failed.Primary:
		text += " The primary answered, but more was asked of it than it can run: replicas that are behind send their reads to it."
	case failed.Cause == eventlog.ReasonFull:
		text += " The member answered, but more was asked of it than it can run."
	case suspected && changed:
		text += " The primary was lost and replaced around that time."
	case suspected:
		text += " The member had stopped answering."
	case changed:
		text += " The primary changed around that time."
	}
	return text
}
