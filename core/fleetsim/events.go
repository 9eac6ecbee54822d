package fleetsim

import (
	"container/heap"
	"time"
)

// event is something that happens at a time. Events of the same time happen in the order
// in which they were scheduled.
type event struct {
	at    time.Duration
	order int
	run   func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// scheduler runs events in simulated time.
type scheduler struct {
	now       time.Duration
	scheduled int
	queue     eventQueue
}

// at schedules an event; one that lies in the past happens now.
func (s *scheduler) at(t time.Duration, run func()) {
	s.scheduled++
	heap.Push(&s.queue, event{max(t, s.now), s.scheduled, run})
}

func (s *scheduler) after(d time.Duration, run func()) { s.at(s.now+d, run) }

// runUntil runs all events before a time.
func (s *scheduler) runUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at < end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}
