package connpool

import "time"

// servicePace is the mean time between two releases while all connections are in use or being
// opened.
type servicePace struct {
	mean    time.Duration
	samples int
	// since is the previous release, and busy is set if none has been free since then.
	since time.Duration
	busy  bool
}

// observeRelease records the release of a connection, which is still counted as in use.
func (p *Pool) observeRelease(now time.Duration) {
	full := !p.belowMaxActive()
	if full && p.pace.busy {
		p.pace.samples++
		// The first samples are averaged evenly, so that no initial value is needed.
		weight := max(meanSampleWeight, 1/float64(p.pace.samples))
		p.pace.mean += time.Duration(weight * float64(now-p.pace.since-p.pace.mean))
	}
	// Without a waiter, the connection becomes idle, and the pause until it is taken again
	// says nothing about the member.
	p.pace.since, p.pace.busy = now, full && p.queue.Len() > 0
}

// ServiceRate returns how many statements per second the member runs on the pool's
// connections while none of them is free. Until that was observed, it is derived from the
// mean hold time and the slots that this pool has of the member. The connections in use
// cannot replace the slots: the mean hold time lags behind when a crowd arrives, and 27
// connections that a light load held for 12 ms each would give a rate of 2,250 for a member
// that runs 333. slots may be a part of one, and is zero if unknown.
func (p *Pool) ServiceRate(slots float64) float64 {
	if p.pace.mean > 0 {
		return 1 / p.pace.mean.Seconds()
	}
	if slots <= 0 {
		slots = 1
	}
	return slots / p.meanHoldTime.Seconds()
}
