package explain

import (
	"fmt"
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// lookback is how long before the end of a request related events are searched. It
// is longer than a failover and than the usual lag of a replica.
const lookback = 10 * time.Second

// Explanation is the log lines of one request and a conclusion from them.
type Explanation struct {
	// Lines are those of the request and of related events before it, ordered by
	// time.
	Lines []Line
	// Conclusion states the result of the request and its likely cause.
	Conclusion string
}

// ExplainRequest explains a request from the lines of all logs. It reports false if
// no line names the request.
func ExplainRequest(lines []Line, request string) (Explanation, bool) {
	var own []Line
	for _, l := range lines {
		if l.Request == request {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return Explanation{}, false
	}
	var explanation Explanation
	for _, l := range lines {
		if l.Request == request || slices.ContainsFunc(own, func(o Line) bool { return mayExplain(l, o) }) {
			explanation.Lines = append(explanation.Lines, l)
		}
	}
	slices.SortStableFunc(explanation.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	explanation.Conclusion = conclude(own[len(own)-1], explanation.Lines)
	return explanation, true
}

// mayExplain reports whether a line may explain a later failure: it is about the
// same member, or about the same host's view of the primary or the platform.
func mayExplain(line, failure Line) bool {
	if line.Request != "" || line.Time.After(failure.Time) || failure.Time.Sub(line.Time) > lookback {
		return false
	}
	if line.Upstream != "" && line.Upstream == failure.Upstream {
		return true
	}
	if line.Name == eventlog.PrimaryChanged.Name || line.Name == eventlog.PromotionLockTaken.Name || line.Name == eventlog.Promoted.Name {
		return line.Host == failure.Host
	}
	return line.Host == failure.Host && (line.Name == eventlog.PlatformUnreachable.Name || line.Name == eventlog.Stopping.Name)
}

// conclude states the result of a request and the likely cause of a failure.
func conclude(statementLine Line, lines []Line) string {
	if statementLine.Name != eventlog.StatementFailed.Name {
		return "The statement succeeded."
	}
	text := fmt.Sprintf("The statement failed with %s: %s.", statementLine.Code, statementLine.Cause)
	suspected, changed := false, false
	for _, l := range lines {
		suspected = suspected || l.Name == eventlog.UpstreamSuspected.Name || l.Name == eventlog.PrimaryReportedDead.Name
		changed = changed || l.Name == eventlog.PrimaryChanged.Name
	}
	switch {
	case statementLine.Cause == eventlog.ReasonQuota:
		text += " Its team has used up the limit that the operators have set, over all hosts; no member was asked."
	case statementLine.Code == statement.Unauthorized.String():
		text += " No team of the configuration that was in force holds the caller's key."
	case statementLine.Cause == eventlog.ReasonAllOverloaded:
		text += " The host itself refused it: by the reports of their gates, each member would have refused it."
	case statementLine.Cause == eventlog.ReasonQueueFull && statementLine.Primary:
		text += " The primary answered, but more was asked of it than it can run: replicas that are behind send their reads to it."
	case statementLine.Cause == eventlog.ReasonQueueFull:
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
