package eventlog_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// Lines per second are limited, suppressed lines are counted, and lines of
// successes do not use up the limit of failures.
func TestRateLimiterBoundsLinesPerSecond(t *testing.T) {
	r := eventlog.NewRateLimiter()
	written := 0
	for range 5000 {
		r.Allow(eventlog.StatementServed, 0)
		if _, ok := r.Allow(eventlog.StatementFailed, 0); ok {
			written++
		}
	}
	require.Equal(t, 200, written)
	suppressed, ok := r.Allow(eventlog.StatementFailed, time.Second)
	require.True(t, ok)
	require.Equal(t, 4800, suppressed)
	suppressed, ok = r.Allow(eventlog.StatementFailed, time.Second)
	require.True(t, ok)
	require.Zero(t, suppressed, "suppressed lines are reported once")
	require.Equal(t, 4800+4990, r.Suppressed())
}
