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
	next, due := p.nextOpening(now)
	if !due {
		return OpenRequest{}, false
	}
	request := OpenRequest{Team: p.queue.At(next.waiter).Team}
	if next.evicts {
		request.Evicts, request.Evicted = true, p.removeIdle(next.evicted)
		p.counts.Evicted++
	}
	p.counts.Opened++
	p.opening[request.Team]++
	return request, true
}

// nextOpen is a connection that may be opened.
type nextOpen struct {
	// waiter is the index of the waiter that it is opened for.
	waiter int
	// evicted is the index of the idle connection to close first, if evicts is set.
	evicted int
	evicts  bool
}

// nextOpening returns the connection to open next: for the most urgent waiter of a team
// with more waiters than connections that are being opened for it. Unless the pool is
// unfair, a waiter does not count if an idle connection suits it, or if its team does not
// need the connection more than the team that would lose one.
func (p *Pool) nextOpening(now time.Duration) (nextOpen, bool) {
	if now < p.backoffUntil || p.queue.Len() == 0 || !p.belowMaxActive() {
		return nextOpen{}, false
	}
	next := nextOpen{evicts: p.Open() >= p.limits.MaxOpen || (p.memberAtLimit && len(p.idle) > 0)}
	if next.evicts && len(p.idle) == 0 {
		return nextOpen{}, false
	}
	var open map[string]int
	if next.evicts {
		next.evicted, open = p.evictionCandidate(now), p.OpenByTeam()
	}
	waitingByTeam := make(map[string]int, p.queue.Len())
	for i := range p.queue.Len() {
		waitingByTeam[p.queue.At(i).Team]++
	}
	var found bool
	next.waiter, found = p.queue.Next(now, func(w Waiter) bool {
		switch {
		case waitingByTeam[w.Team] <= p.opening[w.Team]:
			return false
		case p.limits.Unfair:
			return true
		default:
			return !p.hasIdle(w) && (!next.evicts || w.Fresh || p.needsMore(w, p.idle[next.evicted].Team, open, now))
		}
	})
	return next, found
}

// needsMore reports whether a waiter's team needs one more connection more than another
// team needs one of those that it has. A team without a connection always does, and so
// does one with a late statement: transactions may hold its connections.
func (p *Pool) needsMore(w Waiter, other string, open map[string]int, now time.Duration) bool {
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
