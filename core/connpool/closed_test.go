package connpool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
)

// TestClosedConnectionsAreCharged guards against a team that takes more than its share of a
// member's slots because the connections of its long transactions are closed, not released.
func TestClosedConnectionsAreCharged(t *testing.T) {
	p := connpool.New(connpool.Limits{MaxOpen: 1, MaxWaiting: 10})
	request := func(id uint64, team string, now time.Duration) {
		p.Acquire(connpool.Waiter{ID: id, Team: team, TargetDeadline: now + time.Minute, OnTimeUntil: now + time.Minute, StartDeadline: now + time.Minute}, now)
	}
	request(1, "long", 0)
	p.BeginOpen(0)
	p.Opened(connpool.Conn{ID: 1, Team: "long"}, 0)
	now := 5 * time.Second
	request(2, "long", now)
	request(3, "short", now+ms)
	p.Closed("long", now)
	next, due := p.BeginOpen(now + 2*ms)
	require.True(t, due)
	require.Equal(t, "short", next.Team)
}
