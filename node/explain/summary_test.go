package explain_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/node/explain"
)

// Causes that differ only in members or addresses are grouped, and successful
// statements are not counted.
func TestFailuresAreGroupedByCause(t *testing.T) {
	failed := func(request, upstream, cause string) explain.Line {
		return explain.Line{Event: 309, Name: "statement_failed", Request: request, Code: "busy", Upstream: upstream, Cause: cause}
	}
	groups := explain.Summarize([]explain.Line{
		failed("r0", "m9", ""),
		failed("r1", "m1", "member m1 answered behind"),
		failed("r2", "m2", "member m2 answered behind"),
		failed("r3", "m2", "host 10.0.0.1:7: canceled"),
		failed("r4", "m2", "host 10.0.0.2:7: canceled"),
		failed("r5", "m2", "host 10.0.0.2:8: canceled"),
		{Event: 310, Name: "statement_served", Request: "r6", Code: "ok"},
	})
	require.Equal(t, []explain.FailureGroup{
		{Code: "busy", Cause: "host ADDRESS: canceled", Count: 3, Example: "r3"},
		{Code: "busy", Cause: "member UPSTREAM answered behind", Count: 2, Example: "r1"},
		{Code: "busy", Cause: "no cause is logged", Count: 1, Example: "r0"},
	}, groups)
	require.Empty(t, explain.Summarize(nil))
}
