package connpool

import "time"

// Dropped is a waiting statement that was refused before its deadline.
type Dropped struct {
	Waiter Waiter
	// Displaced is set if a statement took its place in the full queue, By. Otherwise it
	// can no longer be started in time.
	Displaced bool
	By        Waiter
	// RetryAfter is the expected wait of a displaced statement.
	RetryAfter time.Duration
}

// TakeDropped returns the statements that were dropped since the last call. They are in
// the queue no more, so CancelWait does not find them.
func (p *Pool) TakeDropped() []Dropped {
	dropped := p.dropped
	p.dropped = nil
	return dropped
}

// checksPerDecision is how many waiting statements are checked with each newcomer. At a
// few hundred newcomers per second each of 64 waiting statements is checked several
// times per second.
const checksPerDecision = 2

// dropHopeless drops waiting statements that can no longer be started in time because of
// what has arrived since. It checks a few of them at a time.
func (p *Pool) dropHopeless(now time.Duration) {
	for range min(checksPerDecision, p.queue.Len()) {
		p.nextCheck = (p.nextCheck + 1) % p.queue.Len()
		w := p.queue.At(p.nextCheck)
		if !p.belowMaxActive() && len(p.idle)+p.InUse() > 0 && p.cannotServeInTime(w, now) {
			p.queue.Remove(p.nextCheck)
			p.dropped = append(p.dropped, Dropped{Waiter: w})
			if p.queue.Len() == 0 {
				return
			}
		}
	}
}
