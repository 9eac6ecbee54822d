package admit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/admit"
	"github.com/dotterelswitch/dotterelswitch/core/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// TestFairnessBound keeps two or more teams backlogged and checks that, at
// any time, the service that two of them got differs by no more than one
// request of each plus what the slots hold (the bound of start-time fair
// queueing, times the number of slots).
func TestFairnessBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 5).Draw(t, "slots")
		teams := []string{"a", "b", "c"}[:rapid.IntRange(2, 3).Draw(t, "teams")]
		q := admit.NewQueue(admit.Config{Slots: slots, MaxQueued: 100_000, MaxTeamShare: 1})
		const maxCost = 20 * time.Millisecond
		served := map[string]time.Duration{}
		var running []admit.Request
		id := uint64(0)
		offer := func(team string) {
			id++
			r := admit.Request{
				ID: id, Team: team, Weight: 1, Deadline: time.Hour,
				Cost: time.Duration(rapid.IntRange(1, 20).Draw(t, "cost")) * time.Millisecond,
			}
			if q.Offer(r, 0) == admit.Run {
				running = append(running, r)
			}
		}
		for range slots {
			offer("filler")
		}
		for _, team := range teams {
			for range 60 {
				offer(team)
			}
		}
		for range 50 {
			i := rapid.IntRange(0, len(running)-1).Draw(t, "finished")
			done := running[i]
			running = append(running[:i:i], running[i+1:]...)
			start, late := q.Done(done.Cost, 0)
			require.Empty(t, late)
			for _, r := range start {
				served[r.Team] += r.Cost
				running = append(running, r)
			}
			require.LessOrEqual(t, q.Running(), slots)
			for _, x := range teams {
				for _, y := range teams {
					require.LessOrEqual(t, served[x]-served[y], 2*maxCost, "%s got %s, %s got %s", x, served[x], y, served[y])
				}
			}
		}
	})
}

// TestNothingIsLost offers, finishes and removes at random: every request ends
// as run, refused, late or removed, once, and slots are never exceeded.
func TestNothingIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		q := admit.NewQueue(admit.Config{Slots: slots, MaxQueued: 8, MaxTeamShare: 0.5})
		now := time.Duration(0)
		waiting, running := map[uint64]bool{}, []uint64{}
		settle := func(start, late []admit.Request) {
			for _, r := range append(start, late...) {
				require.True(t, waiting[r.ID], "request %d was settled twice", r.ID)
				delete(waiting, r.ID)
			}
			for _, r := range start {
				require.LessOrEqual(t, now+r.Cost, r.Deadline, "a late request started")
				running = append(running, r.ID)
			}
		}
		for id := uint64(1); id < 80; id++ {
			now += time.Duration(rapid.IntRange(0, 5).Draw(t, "elapsed"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				r := admit.Request{
					ID: id, Team: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), Weight: 1, Cost: 2,
					Deadline: now + time.Duration(rapid.IntRange(0, 40).Draw(t, "left")),
				}
				switch q.Offer(r, now) {
				case admit.Run:
					running = append(running, id)
				case admit.Wait:
					waiting[id] = true
				}
			case 2:
				if len(running) > 0 {
					running = running[1:]
					settle(q.Done(3, now))
				}
			case 3:
				for w := range waiting {
					require.True(t, q.Remove(w))
					delete(waiting, w)
					break
				}
			}
			require.LessOrEqual(t, len(running), slots)
			require.Equal(t, len(running), q.Running())
			require.Equal(t, len(waiting), q.Waiting())
		}
	})
}

// TestIdleCapacity checks that one team alone gets every slot, and that
// another that returns is next in line.
func TestIdleCapacity(t *testing.T) {
	q := admit.NewQueue(admit.Config{Slots: 2, MaxQueued: 100, MaxTeamShare: 0.5})
	request := func(id uint64, team string) admit.Request {
		return admit.Request{ID: id, Team: team, Weight: 1, Cost: 1, Deadline: time.Hour}
	}
	require.Equal(t, admit.Run, q.Offer(request(1, "flood"), 0))
	require.Equal(t, admit.Run, q.Offer(request(2, "flood"), 0))
	for id := uint64(3); id < 40; id++ {
		q.Offer(request(id, "flood"), 0)
	}
	require.Equal(t, admit.Wait, q.Offer(request(50, "victim"), 0))
	start, _ := q.Done(1, 0)
	require.Len(t, start, 1)
	start2, _ := q.Done(1, 0)
	require.True(t, start[0].Team == "victim" || start2[0].Team == "victim", "the returning team waits behind the flood")
}
