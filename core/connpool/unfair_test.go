package connpool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
)

// TestUnfairPoolKeepsLateStatements guards against a late statement that is refused before
// its deadline, although the feature is disabled, because more important ones wait.
func TestUnfairPoolKeepsLateStatements(t *testing.T) {
	p := connpool.New(connpool.Limits{MaxOpen: 1, MaxWaiting: 100, Unfair: true})
	late := connpool.Waiter{ID: 1, Priority: 2, TargetDeadline: 20 * ms, OnTimeUntil: 10 * ms, StartDeadline: time.Second}
	p.Acquire(connpool.Waiter{ID: 2, StartDeadline: time.Minute}, 0)
	p.BeginOpen(0)
	p.Opened(connpool.Conn{ID: 1}, 0)
	require.Equal(t, connpool.Queued, p.Acquire(late, 0).Outcome)
	for id := range uint64(60) {
		p.Acquire(connpool.Waiter{ID: id + 3, TargetDeadline: time.Minute, OnTimeUntil: time.Minute, StartDeadline: time.Minute}, 0)
	}
	_, keep := p.WaitUntil(late, 20*ms)
	require.True(t, keep)
}
