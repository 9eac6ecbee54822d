package metrics_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/node/metrics"
)

// Teams above the limit share a label, and every request is recorded in the
// histograms.
func TestTeamLabelsAreLimited(t *testing.T) {
	const limit, teams = 3, 10
	m := metrics.New(metrics.Limits{Teams: limit, Databases: 1})
	for i := range teams {
		m.RecordRequest(fmt.Sprintf("t%d", i), "db", "lookup", "ok", time.Millisecond, time.Millisecond, 2*time.Millisecond)
	}
	m.RecordRequest("", "db-1", "lookup", "ok", time.Millisecond, time.Millisecond, 2*time.Millisecond)
	m.RecordRequest("", "db-2", "write", "ok", time.Millisecond, time.Millisecond, 2*time.Millisecond)
	m.Close() // reports the remaining values
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	text := w.Body.String()
	require.Contains(t, text, `dotterelswitch_whole_seconds_count{class="lookup",team="t0"} 1`)
	require.Contains(t, text, `dotterelswitch_queue_seconds_count{class="lookup",team="other"} 7`)
	require.Contains(t, text, `dotterelswitch_requests{class="lookup",outcome="ok",team="other"} 7`)
	require.Contains(t, text, `dotterelswitch_queue_seconds_count{class="lookup",team="db-1"} 1`)
	require.Contains(t, text, `dotterelswitch_queue_seconds_count{class="write",team="other"} 1`, "databases have a limit of their own")
	require.Equal(t, limit+2, strings.Count(text, `service_seconds_count{class="lookup"`))
}
