package connpool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
)

// TestFreshWaiterGetsNewConnection guards against a statement that needs a connection without a
// history and gets a used one, or waits although the pool could replace an idle one for it.
func TestFreshWaiterGetsNewConnection(t *testing.T) {
	for _, unfair := range []bool{false, true} {
		p := connpool.New(connpool.Limits{MaxOpen: 2, MaxWaiting: 10, Unfair: unfair})
		waiter := connpool.Waiter{Team: "a", TargetDeadline: time.Minute, OnTimeUntil: time.Minute, StartDeadline: time.Minute}
		for id := range connpool.ConnID(2) {
			waiter.ID++
			require.Equal(t, connpool.Queued, p.Acquire(waiter, 0).Outcome)
			require.True(t, beginOpen(p, 0))
			_, found := p.Opened(connpool.Conn{ID: id, Team: "a"}, 0)
			require.True(t, found)
		}
		waiter.ID, waiter.Fresh = 10, true
		require.Equal(t, connpool.Queued, p.Acquire(waiter, ms).Outcome)
		require.False(t, beginOpen(p, ms), "both connections are in use")
		_, found := p.Released(connpool.Conn{ID: 0, Team: "a"}, ms, ms)
		require.False(t, found, "a used connection")
		_, _, found = p.AssignIdle(ms)
		require.False(t, found, "a used connection")
		request, due := p.BeginOpen(ms)
		require.True(t, due)
		require.True(t, request.Evicts)
		// Another statement of the team that waits does not take the new connection.
		waiter.ID, waiter.Fresh, waiter.TargetDeadline = 11, false, 2*ms
		require.Equal(t, connpool.Queued, p.Acquire(waiter, 2*ms).Outcome)
		w, found := p.Opened(connpool.Conn{ID: 2, Team: "a"}, 3*ms)
		require.True(t, found)
		require.Equal(t, uint64(10), w.ID)
		w, found = p.Released(connpool.Conn{ID: 1, Team: "a"}, ms, 4*ms)
		require.True(t, found)
		require.Equal(t, uint64(11), w.ID)
	}
}
