package admit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/admit"
)

// fairnessQueue is a queue of one slot with requests of one cost and two teams.
type fairnessQueue struct {
	*admit.Queue
	nextID uint64
}

func newFairnessQueue() *fairnessQueue {
	return &fairnessQueue{Queue: admit.NewQueue(admit.Config{Slots: 1, MaxQueued: 10_000, MaxTeamShare: 1})}
}

// offer offers requests of a team and returns the ID of the last one.
func (q *fairnessQueue) offer(team string, count int) uint64 {
	for range count {
		q.nextID++
		q.Offer(admit.Request{ID: q.nextID, Team: team, Weight: 1, Cost: time.Millisecond, Deadline: time.Hour}, 0)
	}
	return q.nextID
}

// serve ends requests one after the other and counts those that are admitted by team.
func (q *fairnessQueue) serve(count int) map[string]int {
	served := map[string]int{}
	for range count {
		admitted, _ := q.Done(time.Millisecond, 0)
		for _, r := range admitted {
			served[r.Team]++
		}
	}
	return served
}

// TestDirectlyAdmittedTeamIsNotStarved guards against a team that has used a free slot for
// long and waits, once a second team queues, until that one has caught up with it.
func TestDirectlyAdmittedTeamIsNotStarved(t *testing.T) {
	q := newFairnessQueue()
	q.Resize(2)
	q.offer("first", 1)
	for range 1000 {
		// One slot stays in use, so that the queue is never idle.
		q.offer("first", 1)
		q.serve(1)
	}
	q.Resize(1)
	q.offer("first", 200)
	q.offer("second", 200)
	require.Equal(t, map[string]int{"first": 100, "second": 100}, q.serve(200))
}

// TestCancelledRequestsAreNotCharged guards against a team that waits behind others for
// requests that it has cancelled and that used no slot.
func TestCancelledRequestsAreNotCharged(t *testing.T) {
	q := newFairnessQueue()
	q.offer("running", 1)
	last := q.offer("first", 100)
	for id := last - 99; id <= last; id++ {
		require.True(t, q.Remove(id))
	}
	q.offer("first", 100)
	q.offer("second", 100)
	require.Equal(t, map[string]int{"first": 20, "second": 20}, q.serve(40))
}
