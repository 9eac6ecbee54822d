package explain_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/node/explain"
)

// Log lines of three failed requests, one successful one and related events.
const (
	overload = `  8.4 front-a {"level":"info","host":"a","event":309,"name":"statement_failed","request":"r1","code":"busy","upstream":"m1","primary":true,"cause":"too many statements wait for the member","time":"2026-06-22T10:00:08.400Z"}`
	silent   = `{"level":"warn","host":"a","service":"s","event":308,"name":"upstream_suspected","upstream":"m2","silent":true,"time":"2026-06-22T10:00:09.000Z"}`
	changed  = `{"level":"info","host":"a","service":"s","event":403,"name":"primary_changed","upstream":"m3","was":"m2","time":"2026-06-22T10:00:10.200Z"}`
	inDoubt  = `{"level":"info","host":"a","event":309,"name":"statement_failed","request":"r2","code":"in_doubt","upstream":"m2","primary":true,"cause":"no whole answer from member m2: i/o timeout","time":"2026-06-22T10:00:10.300Z"}`
	behind   = `{"level":"info","host":"b","event":309,"name":"statement_failed","request":"r3","code":"busy","upstream":"m4","primary":false,"cause":"member m4 answered behind","time":"2026-06-22T10:00:30.000Z"}`
	served   = `{"level":"info","host":"b","event":310,"name":"statement_served","request":"r4","code":"ok","time":"2026-06-22T10:00:30.000Z"}`
)

func lines(t *testing.T) []explain.Line {
	t.Helper()
	var out []explain.Line
	for _, text := range []string{behind, inDoubt, changed, silent, overload, served} {
		l, ok := explain.Parse(text)
		require.True(t, ok)
		out = append(out, l)
	}
	return out
}

func TestExplainRequestFindsTheCause(t *testing.T) {
	s, found := explain.ExplainRequest(lines(t), "r2")
	require.True(t, found)
	require.Len(t, s.Lines, 3, "the suspected member, the change of primary, the failure")
	require.Contains(t, s.Conclusion, "in_doubt")
	require.Contains(t, s.Conclusion, "The primary was lost and replaced")

	s, _ = explain.ExplainRequest(lines(t), "r1")
	require.Contains(t, s.Conclusion, "more was asked of it than it can run")
	queueFull, _ := explain.Parse(overload)
	byReports, _ := explain.Parse(strings.Replace(overload, "too many statements wait for the member", "every member that could serve the read has too long a queue", 1))
	s, _ = explain.ExplainRequest([]explain.Line{byReports}, "r1")
	require.Contains(t, s.Conclusion, "The host itself refused it: by the reports of their gates")
	unrelated, _ := explain.Parse(strings.Replace(silent, `"m2"`, `"m1"`, 1))
	unrelated.Time = queueFull.Time.Add(-time.Second)
	s, _ = explain.ExplainRequest([]explain.Line{unrelated, queueFull}, "r1")
	require.Contains(t, s.Conclusion, "more was asked of it than it can run", "a suspected member is not the cause of a full queue")
	s, _ = explain.ExplainRequest(lines(t), "r3")
	require.Contains(t, s.Conclusion, "member m4 answered behind")
	s, _ = explain.ExplainRequest(lines(t), "r4")
	require.Equal(t, "The statement succeeded.", s.Conclusion)
	_, found = explain.ExplainRequest(lines(t), "r9")
	require.False(t, found)
}

func TestParseRejectsOtherLines(t *testing.T) {
	for _, text := range []string{"", "plain text", "{", `{"a":1}`, "{not json}"} {
		_, ok := explain.Parse(text)
		require.False(t, ok, text)
	}
}
