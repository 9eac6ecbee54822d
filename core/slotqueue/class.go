package slotqueue

import (
	"math"
	"slices"
	"time"
)

const (
	// RateTime is the time constant of the rate of starts: short enough to follow a surge
	// of seconds, long enough to average over the statements of one.
	// LateStarved predicts for as long.
	RateTime = 500 * time.Millisecond
	// classActiveTime is how long a class keeps places in the queue after its last
	// statement.
	classActiveTime = time.Second
)

// class is the state of the statements of one priority.
type class struct {
	priority, waiting int
	// passedOver counts the starts of other classes since the last one of this class, or
	// since it began to wait.
	passedOver int
	arrived    bool
	arrivedAt  time.Duration
	// starts is the number of starts, decaying with RateTime, as of startsAt.
	starts   float64
	startsAt time.Duration
	// lateStart is when a late statement of the class was last started.
	lateStart time.Duration
}

// class returns the state of a class.
func (q *Queue[T]) class(priority int) *class {
	i, found := slices.BinarySearchFunc(q.classes, priority, func(c *class, p int) int { return c.priority - p })
	if !found {
		q.classes = slices.Insert(q.classes, i, &class{priority: priority})
	}
	return q.classes[i]
}

// classStarted records a start of a class.
func (q *Queue[T]) classStarted(priority int, late bool, now time.Duration) {
	own := q.class(priority)
	if late {
		own.lateStart = now
	}
	own.starts, own.startsAt = own.decayedStarts(now)+1, now
	for _, c := range q.classes {
		if c == own || c.waiting == 0 {
			c.passedOver = 0
		} else {
			c.passedOver++
		}
	}
}

func (c *class) decayedStarts(now time.Duration) float64 {
	return c.starts * math.Exp(-float64(now-c.startsAt)/float64(RateTime))
}

// due reports whether the next start belongs to a class.
func (q *Queue[T]) due(c *class) bool { return c.passedOver >= classShare-1 && c.waiting > 0 }

// reserved returns how many places of the queue a less important class keeps.
func (q *Queue[T]) reserved() int { return q.maxWaiting / classShare }

// limitFor returns how many statements may wait when one of a class joins. Less important
// classes that have called lately keep their places.
func (q *Queue[T]) limitFor(priority int, now time.Duration) int {
	limit := q.maxWaiting
	if !q.fair || priority < 0 {
		return limit
	}
	for _, c := range q.classes {
		if c.priority > priority && c.arrived && now-c.arrivedAt < classActiveTime {
			limit -= max(q.reserved()-c.waiting, 0)
		}
	}
	return limit
}

// LateStarved reports whether the late statements of a class have no chance within
// RateTime: more important classes and the statements of its own that were on time have
// used the slots lately, and none that was late was started. It is false while statements
// of one team and class wait.
func (q *Queue[T]) LateStarved(priority int, now, interval time.Duration) bool {
	return q.fair && q.mixed() && now-q.class(priority).lateStart > RateTime &&
		q.urgentShare(priority+1, now, interval) > 1-1.0/classShare
}

// urgentShare returns the share of the slots that more important classes have used
// lately, if the member starts a statement every interval while it is busy.
func (q *Queue[T]) urgentShare(priority int, now, interval time.Duration) float64 {
	starts := 0.0
	for _, c := range q.classes {
		if c.priority < priority {
			starts += c.decayedStarts(now)
		}
	}
	return starts * float64(interval) / float64(RateTime)
}
