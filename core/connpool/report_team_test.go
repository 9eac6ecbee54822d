package connpool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
)

// fullPool returns a pool with all of its four connections in use, one for each of the
// teams.
func fullPool(teams ...string) *connpool.Pool {
	p := connpool.New(connpool.Limits{MaxOpen: 4, MaxWaiting: 100})
	for i := range 4 {
		team := teams[i%len(teams)]
		id := uint64(i + 1)
		p.Acquire(connpool.Waiter{ID: id, Team: team, Priority: 1, TargetDeadline: time.Minute, OnTimeUntil: time.Minute, StartDeadline: time.Minute}, 0)
		p.BeginOpen(0)
		p.Opened(connpool.Conn{ID: connpool.ConnID(id), Team: team}, 0)
	}
	return p
}

// enqueue adds 80 waiting statements of a team.
func enqueue(p *connpool.Pool, team string, now time.Duration) {
	for i := range 80 {
		p.Acquire(connpool.Waiter{ID: uint64(100 + i), Team: team, Priority: 1, TargetDeadline: time.Minute, OnTimeUntil: time.Minute, StartDeadline: time.Minute}, now)
	}
}

// TestReportOmitsExcessOfOneTeam guards against a report that names the wait behind one
// team's excess, for which other hosts would refuse the statements of all teams.
func TestReportOmitsExcessOfOneTeam(t *testing.T) {
	p := fullPool("other", "hot", "hot", "hot")
	enqueue(p, "hot", time.Second)
	require.Less(t, p.ExpectedWait(1, time.Second), 120*ms)
}

// TestReportOfSoleTeam guards against a report that leaves out the queue of the only team
// that calls, or of callers without a team.
func TestReportOfSoleTeam(t *testing.T) {
	for _, team := range []string{"", "sole"} {
		p := fullPool(team)
		enqueue(p, team, time.Second)
		require.Greater(t, p.ExpectedWait(1, time.Second), 80*30*ms/4)
	}
}
