package eventlog_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// TestBudgetBoundsTheVolume replays a second of refusals at many times the
// usual rate: the lines are bounded, the rest is counted, and a failure is
// never left out for successes.
func TestBudgetBoundsTheVolume(t *testing.T) {
	b := eventlog.NewBudget()
	written := 0
	for range 5000 {
		b.Allow(eventlog.StatementServed, 0)
		if _, ok := b.Allow(eventlog.StatementFailed, 0); ok {
			written++
		}
	}
	require.Equal(t, 200, written)
	leftOut, ok := b.Allow(eventlog.StatementFailed, time.Second)
	require.True(t, ok)
	require.Equal(t, 4800, leftOut)
	leftOut, ok = b.Allow(eventlog.StatementFailed, time.Second)
	require.True(t, ok)
	require.Zero(t, leftOut, "what was left out is told once")
	require.Equal(t, 4800+4990, b.LeftOut())
}
