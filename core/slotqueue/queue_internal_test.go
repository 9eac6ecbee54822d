package slotqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

const ms = time.Millisecond

func any1(Statement) bool { return true }

// drawStatement draws a statement that arrives now.
func drawStatement(t *rapid.T, id uint64, teams []string, priorities int, now time.Duration) Statement {
	onTime := now + time.Duration(rapid.IntRange(0, 300).Draw(t, "on time for"))*ms
	return Statement{
		ID: id, Team: rapid.SampledFrom(teams).Draw(t, "team"), Priority: rapid.IntRange(0, priorities-1).Draw(t, "priority"),
		OnTimeUntil: onTime, Deadline: onTime + 200*ms,
	}
}

// TestQueueInvariants applies random operations and checks that nobody is lost, that at
// most the maximum waits, that a queue with statements has a next one, and that a
// displaced statement is not more urgent than the one that displaces it: its team has a
// longer queue, or it does not precede the newcomer.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxWaiting = 32
		q := New[Statement](maxWaiting, true)
		q.SetCost(12 * ms)
		waiting := map[uint64]Statement{}
		now := time.Duration(0)
		for id := range uint64(rapid.IntRange(1, 200).Draw(t, "steps")) {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "pause")) * ms
			if rapid.IntRange(0, 2).Draw(t, "event") > 0 {
				s := drawStatement(t, id, []string{"a", "b", "c"}, 3, now)
				waiting[id] = s
				queued := map[string]int{}
				for _, w := range waiting {
					queued[w.Team]++
				}
				if displaced, full := q.Push(s, s, now); full {
					require.Contains(t, waiting, displaced.ID)
					delete(waiting, displaced.ID)
					if displaced.ID != id {
						require.False(t, displaced.precedes(s, now) && queued[displaced.Team] <= queued[s.Team], "%+v is displaced by %+v", displaced, s)
					}
				}
			} else if i, found := q.Next(now, any1); found {
				s := q.Remove(i)
				require.Contains(t, waiting, s.ID)
				delete(waiting, s.ID)
				q.Started(s.Team, s.Priority, s.late(now), now)
				q.Ended(s.Team, time.Duration(rapid.IntRange(1, 40).Draw(t, "took"))*ms)
			} else {
				require.Empty(t, waiting, "a free slot is left to nobody")
			}
			require.Equal(t, len(waiting), q.Len())
			require.LessOrEqual(t, q.Len(), maxWaiting)
		}
	})
}

// TestOneTeamOneClassKeepsOldOrder checks that statements of one team and one priority are
// refused, served and estimated as in the order by deadline alone.
func TestOneTeamOneClassKeepsOldOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fair, plain := New[Statement](8, true), New[Statement](8, false)
		now := time.Duration(0)
		for id := range uint64(rapid.IntRange(1, 100).Draw(t, "steps")) {
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * ms
			if rapid.Bool().Draw(t, "arrives") {
				s := drawStatement(t, id, []string{"a"}, 1, now)
				require.Equal(t, plain.Wait(s, now, 3*ms, any1), fair.Wait(s, now, 3*ms, any1))
				displaced, full := fair.Push(s, s, now)
				plainDisplaced, plainFull := plain.Push(s, s, now)
				require.Equal(t, plainFull, full)
				require.Equal(t, plainDisplaced, displaced)
				continue
			}
			i, found := fair.Next(now, any1)
			j, plainFound := plain.Next(now, any1)
			require.Equal(t, plainFound, found)
			if found {
				s := fair.Remove(i)
				require.Equal(t, plain.Remove(j), s)
				fair.Started(s.Team, s.Priority, s.late(now), now)
				fair.Ended(s.Team, 12*ms)
			}
		}
	})
}

// serve starts statements until n have been served and counts them by team and class.
func serve(q *Queue[Statement], n int) (byTeam map[string]int, byClass map[int]int) {
	byTeam, byClass = map[string]int{}, map[int]int{}
	for now := time.Duration(0); n > 0; n-- {
		i, _ := q.Next(now, any1)
		s := q.Remove(i)
		q.Started(s.Team, s.Priority, s.late(now), now)
		q.Ended(s.Team, 12*ms)
		byTeam[s.Team]++
		byClass[s.Priority]++
		now += 3 * ms
	}
	return byTeam, byClass
}

// backlog returns a queue with n statements of each team and priority.
func backlog(n int, teams []string, priorities []int) *Queue[Statement] {
	q := New[Statement](100_000, true)
	q.SetCost(12 * ms)
	id := uint64(0)
	for _, team := range teams {
		for _, p := range priorities {
			for range n {
				id++
				s := Statement{ID: id, Team: team, Priority: p, Deadline: time.Hour + time.Duration(id), OnTimeUntil: time.Hour}
				q.Push(s, s, 0)
			}
		}
	}
	return q
}

// TestBackloggedTeamsShareSlotTime guards against a team that gets more slot time than
// another one, by more than the quantum, because its statements came first.
func TestBackloggedTeamsShareSlotTime(t *testing.T) {
	byTeam, _ := serve(backlog(200, []string{"first", "second"}, []int{0}), 200)
	require.InDelta(t, byTeam["first"], byTeam["second"], float64(quantum/(12*ms))+2)
}

// TestNoClassIsStarved guards against a class that gets no slot while more important ones
// demand all of them.
func TestNoClassIsStarved(t *testing.T) {
	_, byClass := serve(backlog(400, []string{"a"}, []int{0, 1, 2}), 320)
	require.GreaterOrEqual(t, byClass[1], 320/classShare-1)
	require.GreaterOrEqual(t, byClass[2], 320/classShare-1)
	require.GreaterOrEqual(t, byClass[0], 320-2*320/classShare)
}

// BenchmarkNext measures one decision with 64 waiting statements of 16 teams.
func BenchmarkNext(b *testing.B) {
	for _, c := range []struct {
		name string
		fair bool
	}{{"fair", true}, {"by priority and deadline", false}} {
		b.Run(c.name, func(b *testing.B) {
			q := New[Statement](64, c.fair)
			for id := range uint64(64) {
				s := Statement{ID: id, Team: string(rune('a' + id%16)), Priority: int(id % 3), Deadline: time.Duration(id*7%64) * ms, OnTimeUntil: time.Hour}
				q.Push(s, s, 0)
			}
			b.ReportAllocs()
			for id := uint64(64); b.Loop(); id++ {
				i, _ := q.Next(0, any1)
				s := q.Remove(i)
				q.Started(s.Team, s.Priority, false, 0)
				q.Ended(s.Team, 12*ms)
				s.ID = id
				q.Wait(s, 0, 3*ms, any1)
				q.Push(s, s, 0)
			}
		})
	}
}

// TestTeamsThatCallOnceAreForgotten guards against state that grows with each team that has
// ever called.
func TestTeamsThatCallOnceAreForgotten(t *testing.T) {
	q := New[Statement](64, true)
	for i := range 10 * maxTeams {
		team := fmt.Sprint("team-", i)
		q.Started(team, 0, false, 0)
		q.Ended(team, 12*ms)
	}
	require.LessOrEqual(t, len(q.teams), maxTeams)
}

// TestExcessOfOneTeamDoesNotRaiseWaitOfItsClass guards against refusing statements of a
// class because one team fills the queue with statements of that class, while more
// important ones use nearly all slots.
func TestExcessOfOneTeamDoesNotRaiseWaitOfItsClass(t *testing.T) {
	q := New[Statement](64, true)
	q.SetCost(12 * ms)
	now := time.Duration(0)
	waiting := Statement{ID: 1, Team: "calm", Priority: 0, Deadline: time.Hour, OnTimeUntil: time.Hour}
	q.Push(waiting, waiting, now)
	for range 30 {
		q.Started("hot", 1, false, now)
	}
	for id := range uint64(50) {
		s := Statement{ID: id + 2, Team: "hot", Priority: 1, Deadline: time.Minute, OnTimeUntil: time.Hour}
		q.Push(s, s, now)
	}
	for range 1000 {
		now += 3 * ms
		q.Started("urgent", 0, false, now)
	}
	s := Statement{ID: 100, Team: "calm", Priority: 1, Deadline: 2 * time.Minute, OnTimeUntil: time.Hour}
	require.Greater(t, q.urgentShare(1, now, 3*ms), 1-1.0/classShare)
	require.LessOrEqual(t, q.Wait(s, now, 3*ms, any1), 2*classShare*3*ms)
	require.LessOrEqual(t, q.WaitWithoutExcess(s, now, 3*ms), 2*classShare*3*ms)
	s.Team = "hot"
	require.Greater(t, q.Wait(s, now, 3*ms, any1), time.Second)
}
