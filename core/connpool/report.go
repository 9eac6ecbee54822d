package connpool

import "time"

// Capacity returns how many statements may hold a connection at once.
func (p *Pool) Capacity() int { return p.maxActive() }

// ExpectedWait returns how long a statement of a priority class that joined the queue now
// would be expected to wait. It would be served after all others of its class that are on
// time. Nothing is queued.
func (p *Pool) ExpectedWait(class int, now time.Duration) time.Duration {
	return p.expectedWait(Waiter{Priority: class, TargetDeadline: now + time.Hour, OnTimeUntil: now}, now)
}

// ExpectedWaits returns the expected waits of the priority classes from the highest. The
// last entry holds for all lower classes too.
func (p *Pool) ExpectedWaits(maxClasses int, now time.Duration) []time.Duration {
	lowest := 0
	for _, w := range p.waiting {
		lowest = max(lowest, w.Priority)
	}
	// A class below all that wait stands behind late statements of the lowest one too.
	waits := make([]time.Duration, min(lowest+2, maxClasses))
	for class := range waits {
		waits[class] = p.ExpectedWait(class, now)
	}
	return waits
}
