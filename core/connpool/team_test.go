package connpool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
)

// asking is a statement of a team that comes at time zero and has time.
func asking(id uint64, team string) connpool.Waiter { return askingAt(id, team, 0) }

func askingAt(id uint64, team string, now time.Duration) connpool.Waiter {
	return connpool.Waiter{ID: id, Team: team, AimBy: now + 500*ms, FreshBy: now + 250*ms, StartBy: now + time.Second}
}

// openFor has the pool open a connection for a waiter and end its statement.
func openFor(t *testing.T, p *connpool.Pool, id connpool.ConnID, team string, now time.Duration) {
	t.Helper()
	require.Equal(t, connpool.Queued, p.Acquire(askingAt(uint64(id), team, now), now).Verdict)
	o, due := p.ShouldOpen(now)
	require.True(t, due)
	require.Equal(t, team, o.Team)
	_, found := p.Opened(connpool.Conn{ID: id, Team: team}, now)
	require.True(t, found)
	_, found = p.Released(connpool.Conn{ID: id, Team: team}, ms, now)
	require.False(t, found)
}

func TestConnectionServesItsTeamOnly(t *testing.T) {
	p := connpool.New(connpool.Limits{Max: 2, Fair: 2, MaxWaiting: 4})
	openFor(t, p, 1, "schools", 0)
	require.Equal(t, connpool.Queued, p.Acquire(asking(2, "clubs"), 0).Verdict)
	d := p.Acquire(asking(3, "schools"), 0)
	require.Equal(t, connpool.Granted, d.Verdict)
	require.Equal(t, connpool.ConnID(1), d.Conn)
}

// TestLongestIdleGivesWay: of two teams that have asked once, the connection of the
// one that did so longer ago is closed for a team that has none.
func TestLongestIdleGivesWay(t *testing.T) {
	p := connpool.New(connpool.Limits{Max: 2, Fair: 2, MaxWaiting: 4})
	openFor(t, p, 1, "schools", 0)
	openFor(t, p, 2, "clubs", ms)
	require.Equal(t, connpool.Queued, p.Acquire(asking(3, "colleges"), 2*ms).Verdict)
	o, due := p.ShouldOpen(2 * ms)
	require.True(t, due)
	require.Equal(t, connpool.Order{Team: "colleges", Evicted: 1, Evicts: true}, o)
	require.Equal(t, 2, p.Open())
}

// TestPopularTeamKeepsItsConnection: a team that calls every second keeps its
// connection when another one has called once after it.
func TestPopularTeamKeepsItsConnection(t *testing.T) {
	p := connpool.New(connpool.Limits{Max: 2, Fair: 2, MaxWaiting: 4})
	openFor(t, p, 1, "popular", 0)
	now := time.Duration(0)
	for range 5 {
		now += time.Second
		require.Equal(t, connpool.Granted, p.Acquire(askingAt(9, "popular", now), now).Verdict)
		p.Released(connpool.Conn{ID: 1, Team: "popular"}, ms, now)
	}
	openFor(t, p, 2, "once", now)
	later := now + 500*ms
	require.Equal(t, connpool.Queued, p.Acquire(askingAt(3, "newcomer", later), later).Verdict)
	o, due := p.ShouldOpen(later)
	require.True(t, due)
	require.Equal(t, connpool.ConnID(2), o.Evicted)
}

// TestStatusNeedsNoConnectionOfItsOwn: what the system asks by itself runs on any
// team's connection.
func TestStatusNeedsNoConnectionOfItsOwn(t *testing.T) {
	p := connpool.New(connpool.Limits{Max: 2, Fair: 2, MaxWaiting: 4})
	openFor(t, p, 1, "schools", 0)
	w := asking(2, "")
	w.AnyTeam = true
	require.Equal(t, connpool.Granted, p.Acquire(w, 0).Verdict)
}

// TestBusyTeamDoesNotKeepItsConnections replays a team that always has something
// waiting, beside one statement of another team.
func TestBusyTeamDoesNotKeepItsConnections(t *testing.T) {
	p := connpool.New(connpool.Limits{Max: 1, Fair: 1, MaxWaiting: 64})
	openFor(t, p, 1, "busy", 0)
	require.Equal(t, connpool.Granted, p.Acquire(asking(2, "busy"), 0).Verdict)
	require.Equal(t, connpool.Queued, p.Acquire(asking(3, "quiet"), 0).Verdict)
	const work = 10 * ms
	for i := range 20 {
		now := time.Duration(i) * work
		w := asking(uint64(10+i), "busy")
		w.AimBy, w.FreshBy = now+500*ms, now+250*ms
		p.Acquire(w, now)
		if _, found := p.Released(connpool.Conn{ID: 1, Team: "busy"}, work, now+work); !found {
			o, due := p.ShouldOpen(now + work)
			require.True(t, due)
			require.Equal(t, connpool.Order{Team: "quiet", Evicted: 1, Evicts: true}, o)
			require.Greater(t, i, 2, "a change of hands is not made for a moment's wait")
			return
		}
	}
	t.Fatal("the busy team keeps its connection for good")
}

// TestIdleConnectionWaitsForRoom: where all that may run something do, a statement
// waits although its team's connection idles, and has it as soon as there is room.
func TestIdleConnectionWaitsForRoom(t *testing.T) {
	p := connpool.New(connpool.Limits{Max: 2, Busy: 1, Fair: 2, MaxWaiting: 4})
	openFor(t, p, 1, "schools", 0)
	openFor(t, p, 2, "clubs", 0)
	require.Equal(t, connpool.Granted, p.Acquire(asking(3, "clubs"), 0).Verdict)
	require.Equal(t, connpool.Queued, p.Acquire(asking(4, "schools"), 0).Verdict)
	_, _, found := p.Assign(0)
	require.False(t, found)
	_, found = p.Released(connpool.Conn{ID: 2, Team: "clubs"}, ms, ms)
	require.False(t, found)
	id, w, found := p.Assign(ms)
	require.True(t, found)
	require.Equal(t, connpool.ConnID(1), id)
	require.Equal(t, uint64(4), w.ID)
}

// TestOneTeamOpensNoMoreThanMayRun: connections beyond those that may run something
// are for other teams.
func TestOneTeamOpensNoMoreThanMayRun(t *testing.T) {
	p := connpool.New(connpool.Limits{Max: 8, Busy: 3, Fair: 8, MaxWaiting: 64})
	for id := range 20 {
		p.Acquire(asking(uint64(id), "only"), 0)
	}
	for opens(p, 0) {
	}
	require.Equal(t, 3, p.Open())
}

// TestTeamsNeverShareAConnection: whatever is asked for, opened, released and
// closed, a waiter gets a connection of its team, no more are open than allowed,
// and no more run something than may.
func TestTeamsNeverShareAConnection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := connpool.Limits{Max: rapid.IntRange(1, 6).Draw(t, "max"), Fair: 6, MaxWaiting: 16}
		limits.Busy = rapid.IntRange(1, limits.Max).Draw(t, "busy")
		p := connpool.New(limits)
		teamOf := map[connpool.ConnID]string{}
		var used []connpool.ConnID
		var opening []connpool.Conn
		next := connpool.ConnID(0)
		now := time.Duration(0)
		take := func(id connpool.ConnID, w connpool.Waiter) {
			if teamOf[id] != w.Team {
				t.Fatalf("a statement of %s runs on a connection of %s", w.Team, teamOf[id])
			}
			used = append(used, id)
		}
		for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * ms
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				w := asking(uint64(step), fmt.Sprint("team-", rapid.IntRange(0, 4).Draw(t, "team")))
				w.AimBy, w.FreshBy, w.StartBy = now+500*ms, now+250*ms, now+time.Second
				if d := p.Acquire(w, now); d.Verdict == connpool.Granted {
					take(d.Conn, w)
				}
			case 2:
				if len(opening) > 0 {
					c := opening[0]
					opening = opening[1:]
					teamOf[c.ID] = c.Team
					if w, found := p.Opened(c, now); found {
						take(c.ID, w)
					}
				}
			case 3:
				if len(used) > 0 {
					id := used[0]
					used = used[1:]
					if rapid.Bool().Draw(t, "broken") {
						p.Closed(teamOf[id])
					} else if w, found := p.Released(connpool.Conn{ID: id, Team: teamOf[id]}, ms, now); found {
						take(id, w)
					}
				}
			}
			for {
				id, w, found := p.Assign(now)
				if !found {
					break
				}
				take(id, w)
			}
			for {
				o, due := p.ShouldOpen(now)
				if !due {
					break
				}
				next++
				opening = append(opening, connpool.Conn{ID: next, Team: o.Team})
			}
			for _, id := range p.Surplus(now) {
				delete(teamOf, id)
			}
			if p.Open() > limits.Max || len(used) > limits.Busy || p.InUse() != len(used) {
				t.Fatalf("%d open, %d in use, counted as %d, with limits %+v", p.Open(), len(used), p.InUse(), limits)
			}
		}
	})
}
