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
	if now < p.backoffUntil || len(p.waiting) == 0 || !p.belowMaxActive() {
		return OpenRequest{}, false
	}
	team, found := p.nextTeam(now)
	if !found {
		return OpenRequest{}, false
	}
	request := OpenRequest{Team: team}
	if p.Open() >= p.limits.MaxOpen || (p.memberAtLimit && len(p.idle) > 0) {
		if len(p.idle) == 0 {
			return OpenRequest{}, false
		}
		request.Evicts, request.Evicted = true, p.removeIdle(p.evictionCandidate(now))
		p.counts.Evicted++
	}
	p.counts.Opened++
	p.opening[team]++
	return request, true
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

// nextTeam returns the team of the most urgent waiter for which no connection is
// being opened yet.
func (p *Pool) nextTeam(now time.Duration) (string, bool) {
	waitingByTeam := make(map[string]int, len(p.waiting))
	for _, w := range p.waiting {
		waitingByTeam[w.Team]++
	}
	best := -1
	for i, w := range p.waiting {
		if waitingByTeam[w.Team] > p.opening[w.Team] && (best < 0 || w.before(p.waiting[best], now)) {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	return p.waiting[best].Team, true
}
