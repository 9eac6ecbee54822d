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

// TestFairnessBound checks the fairness bound of start-time fair queueing: the service
// received by any two backlogged teams never differs by more than the cost of two
// requests of maximum size.
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
			if q.Offer(r, 0) == admit.Admitted {
				running = append(running, r)
			}
		}
		for range slots {
			offer("warmup")
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
			admitted, expired := q.Done(done.Cost, 0)
			require.Empty(t, expired)
			for _, r := range admitted {
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

// TestEveryRequestLeavesQueueOnce applies random operations and checks that every
// queued request is admitted, dropped or removed exactly once, and that the number
// of running requests never exceeds the number of slots.
func TestEveryRequestLeavesQueueOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		q := admit.NewQueue(admit.Config{Slots: slots, MaxQueued: 8, MaxTeamShare: 0.5})
		now := time.Duration(0)
		waiting, running := map[uint64]bool{}, []uint64{}
		recordDispatch := func(admitted, expired []admit.Request) {
			for _, r := range append(admitted, expired...) {
				require.True(t, waiting[r.ID], "request %d was admitted or dropped twice", r.ID)
				delete(waiting, r.ID)
			}
			for _, r := range admitted {
				require.LessOrEqual(t, now+r.Cost, r.Deadline, "admitted a request that cannot meet its deadline")
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
				case admit.Admitted:
					running = append(running, id)
				case admit.Queued:
					waiting[id] = true
				}
			case 2:
				if len(running) > 0 {
					running = running[1:]
					// The requests take longer than their expected cost.
					recordDispatch(q.Done(3, now))
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

// TestSingleTeamUsesAllSlots checks that a single active team gets every slot, and
// that a second team is served ahead of the first one's backlog.
func TestSingleTeamUsesAllSlots(t *testing.T) {
	q := admit.NewQueue(admit.Config{Slots: 2, MaxQueued: 100, MaxTeamShare: 0.5})
	request := func(id uint64, team string) admit.Request {
		return admit.Request{ID: id, Team: team, Weight: 1, Cost: 1, Deadline: time.Hour}
	}
	require.Equal(t, admit.Admitted, q.Offer(request(1, "backlogged"), 0))
	require.Equal(t, admit.Admitted, q.Offer(request(2, "backlogged"), 0))
	for id := uint64(3); id < 40; id++ {
		q.Offer(request(id, "backlogged"), 0)
	}
	require.Equal(t, admit.Queued, q.Offer(request(50, "light"), 0))
	first, _ := q.Done(1, 0)
	require.Len(t, first, 1)
	second, _ := q.Done(1, 0)
	require.True(t, first[0].Team == "light" || second[0].Team == "light", "the second team waits behind the backlog of the first")
}
