package connpool

import "time"

// Capacity returns how many statements may hold a connection at once.
func (p *Pool) Capacity() int { return p.maxActive() }

// ExpectedWait returns how long a statement of a priority class that joined the queue now
// would be expected to wait. It would be served after all others of its class that are on
// time. Where several teams call, it is the wait of a team that uses no more than its
// share, so that the excess of one team does not keep the statements of others away.
// Nothing is queued.
func (p *Pool) ExpectedWait(class int, now time.Duration) time.Duration {
	if p.belowMaxActive() {
		return 0
	}
	w := Waiter{Priority: class, TargetDeadline: now + time.Hour, OnTimeUntil: now}
	return p.queue.WaitWithoutExcess(w.statement(), now, p.startInterval(p.InUse()+p.openingCount()))
}

// ExpectedWaits returns the expected waits of the priority classes from the highest. The
// last entry holds for all lower classes too.
func (p *Pool) ExpectedWaits(maxClasses int, now time.Duration) []time.Duration {
	lowest := 0
	for i := range p.queue.Len() {
		lowest = max(lowest, p.queue.At(i).Priority)
	}
	// A class below all that wait stands behind late statements of the lowest one too.
	waits := make([]time.Duration, min(lowest+2, maxClasses))
	for class := range waits {
		waits[class] = p.ExpectedWait(class, now)
	}
	return waits
}
