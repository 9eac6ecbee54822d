package connpool

import (
	"math"
	"time"
)

// OpenRequest is a connection that the pool's user has to open.
type OpenRequest struct {
	// Team is the team that the connection is opened for.
	Team string
	// Evicted is the idle connection to close first, if Evicts is set.
	Evicted ConnID
	Evicts  bool
}

// BeginOpen returns a connection that has to be opened now and counts it as being
// opened. Call it until it returns false. If the pool is full or the member at its
// connection limit, an idle connection of the team that is least likely to need it
// again is evicted.
func (p *Pool) BeginOpen(now time.Duration) (OpenRequest, bool) {
	if now < p.backoffUntil || p.queue.Len() == 0 || !p.belowMaxActive() {
		return OpenRequest{}, false
	}
	index, found := p.nextToOpen(now)
	if !found {
		return OpenRequest{}, false
	}
	team := p.queue.At(index).Team
	request := OpenRequest{Team: team}
	if p.Open() >= p.limits.MaxOpen || (p.memberAtLimit && len(p.idle) > 0) {
		if len(p.idle) == 0 {
			return OpenRequest{}, false
		}
		candidate := p.evictionCandidate(now)
		if !p.limits.Unfair && !p.worthEvicting(p.queue.At(index), p.idle[candidate].Team, now) {
			return OpenRequest{}, false
		}
		request.Evicts, request.Evicted = true, p.removeIdle(candidate)
		p.counts.Evicted++
	}
	p.counts.Opened++
	p.opening[team]++
	return request, true
}

// worthEvicting reports whether a waiter's team needs one more connection more than
// another team needs the one that it would lose. A team that has none always does, and so
// does one whose statement is late: its connections may be held by transactions.
func (p *Pool) worthEvicting(w Waiter, other string, now time.Duration) bool {
	open := p.OpenByTeam()
	if open[w.Team] == 0 || w.OnTimeUntil < now {
		return true
	}
	return p.demand.get(w.Team, now)/float64(open[w.Team]+1) > p.demand.get(other, now)/float64(open[other])
}

// evictionCandidate returns the index of the idle connection to evict: one of the
// team with the least demand per idle connection, and of these the oldest.
func (p *Pool) evictionCandidate(now time.Duration) int {
	idleCount := map[string]float64{}
	for _, c := range p.idle {
		idleCount[c.Team]++
	}
	candidate, lowestDemand := 0, math.Inf(1)
	for i, c := range p.idle {
		if perConn := p.demand.get(c.Team, now) / idleCount[c.Team]; perConn < lowestDemand {
			candidate, lowestDemand = i, perConn
		}
	}
	return candidate
}

// nextToOpen returns the index of the most urgent waiter of a team with more waiters than
// connections that are being opened for it. A waiter for which an idle connection can be
// used waits for that, unless the pool is unfair.
func (p *Pool) nextToOpen(now time.Duration) (int, bool) {
	waitingByTeam := make(map[string]int, p.queue.Len())
	for i := range p.queue.Len() {
		waitingByTeam[p.queue.At(i).Team]++
	}
	return p.queue.Next(now, func(w Waiter) bool {
		return waitingByTeam[w.Team] > p.opening[w.Team] && (p.limits.Unfair || !p.hasIdle(w))
	})
}
