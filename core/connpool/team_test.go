package connpool_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
)

// teamWaiter returns a statement of a team that arrives at time zero.
func teamWaiter(id uint64, team string) connpool.Waiter { return teamWaiterAt(id, team, 0) }

func teamWaiterAt(id uint64, team string, now time.Duration) connpool.Waiter {
	return connpool.Waiter{ID: id, Team: team, TargetDeadline: now + 500*ms, OnTimeUntil: now + 250*ms, StartDeadline: now + time.Second}
}

// openFor opens an idle connection for a team.
func openFor(t *testing.T, p *connpool.Pool, id connpool.ConnID, team string, now time.Duration) {
	t.Helper()
	require.Equal(t, connpool.Queued, p.Acquire(teamWaiterAt(uint64(id), team, now), now).Outcome)
	request, due := p.BeginOpen(now)
	require.True(t, due)
	require.Equal(t, team, request.Team)
	_, found := p.Opened(connpool.Conn{ID: id, Team: team}, now)
	require.True(t, found)
	_, found = p.Released(connpool.Conn{ID: id, Team: team}, ms, now)
	require.False(t, found)
}

func TestConnectionServesOnlyItsTeam(t *testing.T) {
	p := connpool.New(connpool.Limits{MaxOpen: 2, FairShare: 2, MaxWaiting: 4})
	openFor(t, p, 1, "schools", 0)
	require.Equal(t, connpool.Queued, p.Acquire(teamWaiter(2, "clubs"), 0).Outcome)
	d := p.Acquire(teamWaiter(3, "schools"), 0)
	require.Equal(t, connpool.Granted, d.Outcome)
	require.Equal(t, connpool.ConnID(1), d.Conn)
}

// TestEvictsTeamWithOlderRequest checks that, of two teams with one request each, the
// connection of the team whose request is older is evicted.
func TestEvictsTeamWithOlderRequest(t *testing.T) {
	p := connpool.New(connpool.Limits{MaxOpen: 2, FairShare: 2, MaxWaiting: 4})
	openFor(t, p, 1, "schools", 0)
	openFor(t, p, 2, "clubs", ms)
	require.Equal(t, connpool.Queued, p.Acquire(teamWaiter(3, "colleges"), 2*ms).Outcome)
	request, due := p.BeginOpen(2 * ms)
	require.True(t, due)
	require.Equal(t, connpool.OpenRequest{Team: "colleges", Evicted: 1, Evicts: true}, request)
	require.Equal(t, 2, p.Open())
}

// TestEvictsTeamWithLeastDemand checks that a team with frequent requests keeps its
// connection although another team has used one more recently.
func TestEvictsTeamWithLeastDemand(t *testing.T) {
	p := connpool.New(connpool.Limits{MaxOpen: 2, FairShare: 2, MaxWaiting: 4})
	openFor(t, p, 1, "frequent", 0)
	now := time.Duration(0)
	for range 5 {
		now += time.Second
		require.Equal(t, connpool.Granted, p.Acquire(teamWaiterAt(9, "frequent", now), now).Outcome)
		p.Released(connpool.Conn{ID: 1, Team: "frequent"}, ms, now)
	}
	openFor(t, p, 2, "once", now)
	later := now + 500*ms
	require.Equal(t, connpool.Queued, p.Acquire(teamWaiterAt(3, "newcomer", later), later).Outcome)
	request, due := p.BeginOpen(later)
	require.True(t, due)
	require.Equal(t, connpool.ConnID(2), request.Evicted)
}

// TestAnyTeamStatementUsesAnyConnection checks that statements of the proxy itself run on
// any team's connection.
func TestAnyTeamStatementUsesAnyConnection(t *testing.T) {
	p := connpool.New(connpool.Limits{MaxOpen: 2, FairShare: 2, MaxWaiting: 4})
	openFor(t, p, 1, "schools", 0)
	w := teamWaiter(2, "")
	w.AnyTeam = true
	require.Equal(t, connpool.Granted, p.Acquire(w, 0).Outcome)
}

// TestBacklogDoesNotMonopolizeConnections checks that a team with a permanent backlog
// loses its connection to a waiting statement of another team, but not at once.
func TestBacklogDoesNotMonopolizeConnections(t *testing.T) {
	p := connpool.New(connpool.Limits{MaxOpen: 1, FairShare: 1, MaxWaiting: 64})
	openFor(t, p, 1, "busy", 0)
	require.Equal(t, connpool.Granted, p.Acquire(teamWaiter(2, "busy"), 0).Outcome)
	require.Equal(t, connpool.Queued, p.Acquire(teamWaiter(3, "idle"), 0).Outcome)
	const serviceTime = 10 * ms
	for i := range 20 {
		now := time.Duration(i) * serviceTime
		w := teamWaiter(uint64(10+i), "busy")
		w.TargetDeadline, w.OnTimeUntil = now+500*ms, now+250*ms
		p.Acquire(w, now)
		if _, found := p.Released(connpool.Conn{ID: 1, Team: "busy"}, serviceTime, now+serviceTime); !found {
			request, due := p.BeginOpen(now + serviceTime)
			require.True(t, due)
			require.Equal(t, connpool.OpenRequest{Team: "idle", Evicted: 1, Evicts: true}, request)
			require.Greater(t, i, 2, "the connection must not be evicted after a short wait")
			return
		}
	}
	t.Fatal("the connection of the busy team is never evicted")
}

// TestIdleConnectionIsAssignedBelowMaxActive checks that a statement waits while MaxActive
// connections are in use, although its team has an idle one, and gets it afterwards.
func TestIdleConnectionIsAssignedBelowMaxActive(t *testing.T) {
	p := connpool.New(connpool.Limits{MaxOpen: 2, MaxActive: 1, FairShare: 2, MaxWaiting: 4})
	openFor(t, p, 1, "schools", 0)
	openFor(t, p, 2, "clubs", 0)
	require.Equal(t, connpool.Granted, p.Acquire(teamWaiter(3, "clubs"), 0).Outcome)
	require.Equal(t, connpool.Queued, p.Acquire(teamWaiter(4, "schools"), 0).Outcome)
	_, _, found := p.AssignIdle(0)
	require.False(t, found)
	_, found = p.Released(connpool.Conn{ID: 2, Team: "clubs"}, ms, ms)
	require.False(t, found)
	id, w, found := p.AssignIdle(ms)
	require.True(t, found)
	require.Equal(t, connpool.ConnID(1), id)
	require.Equal(t, uint64(4), w.ID)
}

// TestTeamOpensNoMoreThanMaxActive checks that connections beyond MaxActive are left to
// other teams.
func TestTeamOpensNoMoreThanMaxActive(t *testing.T) {
	p := connpool.New(connpool.Limits{MaxOpen: 8, MaxActive: 3, FairShare: 8, MaxWaiting: 64})
	for id := range 20 {
		p.Acquire(teamWaiter(uint64(id), "only"), 0)
	}
	for beginOpen(p, 0) {
	}
	require.Equal(t, 3, p.Open())
}

// TestStatementsRunOnConnectionsOfTheirTeam applies random operations and checks that
// waiters only get connections of their team and that the limits hold.
func TestStatementsRunOnConnectionsOfTheirTeam(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := connpool.Limits{MaxOpen: rapid.IntRange(1, 6).Draw(t, "max open"), FairShare: 6, MaxWaiting: 16}
		limits.MaxActive = rapid.IntRange(1, limits.MaxOpen).Draw(t, "max active")
		p := connpool.New(limits)
		teamOf := map[connpool.ConnID]string{}
		var used []connpool.ConnID
		var opening []connpool.Conn
		next := connpool.ConnID(0)
		now := time.Duration(0)
		markInUse := func(id connpool.ConnID, w connpool.Waiter) {
			if teamOf[id] != w.Team {
				t.Fatalf("a statement of %s runs on a connection of %s", w.Team, teamOf[id])
			}
			used = append(used, id)
		}
		for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * ms
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				w := teamWaiter(uint64(step), fmt.Sprint("team-", rapid.IntRange(0, 4).Draw(t, "team")))
				w.TargetDeadline, w.OnTimeUntil, w.StartDeadline = now+500*ms, now+250*ms, now+time.Second
				if d := p.Acquire(w, now); d.Outcome == connpool.Granted {
					markInUse(d.Conn, w)
				}
			case 2:
				if len(opening) > 0 {
					c := opening[0]
					opening = opening[1:]
					teamOf[c.ID] = c.Team
					if w, found := p.Opened(c, now); found {
						markInUse(c.ID, w)
					}
				}
			case 3:
				if len(used) > 0 {
					id := used[0]
					used = used[1:]
					if rapid.Bool().Draw(t, "broken") {
						p.Closed(teamOf[id], ms)
						delete(teamOf, id)
					} else if w, found := p.Released(connpool.Conn{ID: id, Team: teamOf[id]}, ms, now); found {
						markInUse(id, w)
					}
				}
			}
			for {
				for id, w, found := p.AssignIdle(now); found; id, w, found = p.AssignIdle(now) {
					markInUse(id, w)
				}
				request, due := p.BeginOpen(now)
				if !due {
					break
				}
				delete(teamOf, request.Evicted)
				next++
				opening = append(opening, connpool.Conn{ID: next, Team: request.Team})
			}
			for _, id := range p.ExpireIdle(now) {
				delete(teamOf, id)
			}
			for id, team := range teamOf {
				waits := slices.ContainsFunc(p.Queues(), func(q connpool.TeamQueue) bool { return q.Team == team })
				if waits && !slices.Contains(used, id) && !p.Exhausted() {
					t.Fatalf("a statement of %s waits although a connection of its team is free", team)
				}
			}
			if p.Open() > limits.MaxOpen || len(used) > limits.MaxActive || p.InUse() != len(used) {
				t.Fatalf("%d open, %d in use, counted as %d, with limits %+v", p.Open(), len(used), p.InUse(), limits)
			}
		}
	})
}
