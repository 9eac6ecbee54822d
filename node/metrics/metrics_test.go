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

// TestTeamsShownAreCapped checks that teams past the limit share a label,
// and that each request is counted in its histograms.
func TestTeamsShownAreCapped(t *testing.T) {
	const limit, teams = 3, 10
	m := metrics.New(limit)
	for i := range teams {
		m.Request(fmt.Sprintf("t%d", i), "lookup", "ok", time.Millisecond, time.Millisecond, 2*time.Millisecond)
	}
	m.Close() // reports what is left
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	text := w.Body.String()
	require.Contains(t, text, `dotterelswitch_whole_seconds_count{class="lookup",team="t0"} 1`)
	require.Contains(t, text, `dotterelswitch_queue_seconds_count{class="lookup",team="other"} 7`)
	require.Contains(t, text, `dotterelswitch_requests{class="lookup",outcome="ok",team="other"} 7`)
	require.Equal(t, limit+1, strings.Count(text, `service_seconds_count{class="lookup"`))
}
