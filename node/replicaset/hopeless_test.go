package replicaset

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// TestHopelessStatementCountsAsOutOfTime guards against a hopeless statement with a retry
// time of its own, for which a host would refuse a read that a replica can serve later.
func TestHopelessStatementCountsAsOutOfTime(t *testing.T) {
	s := newBusySet("h0", 1)
	m, _ := s.Member("m")
	now := clock.Now()
	m.pool.Acquire(connpool.Waiter{StartDeadline: now + time.Minute}, now)
	m.pool.BeginOpen(now)
	m.pool.Opened(connpool.Conn{ID: 1}, now)
	request := func(priority int, deadline time.Duration) chan grant {
		_, ch, err := m.requestConn(&connpool.Waiter{Priority: priority, TargetDeadline: deadline, OnTimeUntil: now, StartDeadline: deadline})
		require.NoError(t, err)
		return ch
	}
	hopeless := request(2, now+300*time.Millisecond)
	for range 40 {
		request(0, now+time.Minute)
	}
	select {
	case g := <-hopeless:
		require.Equal(t, &RefusedError{Reason: eventlog.ReasonHopeless, outOfTime: true}, g.err)
	default:
		t.Fatal("the statement waits although it cannot start in time")
	}
}
