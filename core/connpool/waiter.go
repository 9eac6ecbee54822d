package connpool

import "time"

// QueueShare is the part of its latency target that a statement may wait for a
// connection. Load pattern: a member is offered more than it can run, for
// seconds. As many statements are served however long the queue is; a queue as
// long as the target makes all of them late, one of half of it few.
const QueueShare = 0.5

// Waiter is a statement that needs a connection.
type Waiter struct {
	ID uint64
	// Priority 0 is the highest.
	Priority int
	// AimBy is when the statement must have started to meet its latency target.
	AimBy time.Duration
	// StartBy is the latest start that is still of use.
	StartBy time.Duration
	// HoldBy replaces StartBy while the pool has no connection at all, because
	// the member turns all away: those of hosts that lost power stay open there
	// for seconds. A refusal would use up the caller's few tries meanwhile.
	HoldBy time.Duration
	// Values identifies the session values that the statement needs.
	Values string
}

// before orders waiters: a higher priority first; then those that can still
// meet their target, the most urgent first; then those that cannot. Serving
// the late ones in order of arrival would make all that follow late too.
func (w Waiter) before(v Waiter, now time.Duration) bool {
	if w.Priority != v.Priority {
		return w.Priority < v.Priority
	}
	wOnTime, vOnTime := w.AimBy >= now, v.AimBy >= now
	if wOnTime != vOnTime {
		return wOnTime
	}
	return w.AimBy < v.AimBy
}

// first returns the index of the waiter that is served next.
func first(waiting []Waiter, now time.Duration) int {
	best := 0
	for i := range waiting {
		if waiting[i].before(waiting[best], now) {
			best = i
		}
	}
	return best
}
