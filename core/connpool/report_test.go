package connpool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
)

// TestExpectedWaitsByClass guards against a report that names the wait of the least
// important statements to the most important ones, or that queues what it asks about.
func TestExpectedWaitsByClass(t *testing.T) {
	p := connpool.New(connpool.Limits{MaxOpen: 1, MaxWaiting: 10})
	require.Equal(t, 1, p.Capacity())
	require.Equal(t, []time.Duration{0, 0}, p.ExpectedWaits(8, 0))
	for id := range uint64(4) {
		p.Acquire(connpool.Waiter{ID: id, Priority: 1, TargetDeadline: time.Second, OnTimeUntil: time.Second, StartDeadline: time.Second}, 0)
		p.BeginOpen(0)
	}
	waits := p.ExpectedWaits(8, 0)
	require.Len(t, waits, 3)
	require.Less(t, waits[0], waits[1])
	require.Equal(t, waits[1], waits[2])
	require.Equal(t, waits[:2], p.ExpectedWaits(2, 0))
	require.Equal(t, 4, p.Waiting())
}
