package connpool

import (
	"math"
	"time"
)

// Order is a connection that is to be opened.
type Order struct {
	// Team is in whose name it is to be opened.
	Team string
	// Evicted is an idle connection that is to be closed for it, if Evicts.
	Evicted ConnID
	Evicts  bool
}

// ShouldOpen returns a connection that is to be opened now, and counts it as being
// opened. Call it until it returns false.
//
// Load pattern: a member takes a third as many connections as there are teams, and
// a connection serves one team. An idle connection of the team that is least likely to
// ask again gives way.
func (p *Pool) ShouldOpen(now time.Duration) (Order, bool) {
	if now < p.quietUntil || len(p.waiting) == 0 || !p.hasRoom() {
		return Order{}, false
	}
	team, found := p.nextTeam(now)
	if !found {
		return Order{}, false
	}
	o := Order{Team: team}
	if p.Open() >= p.limits.Max || (p.crowded && len(p.idle) > 0) {
		if len(p.idle) == 0 {
			return Order{}, false
		}
		o.Evicts, o.Evicted = true, p.removeIdle(p.leastWorth(now))
		p.counts.Evicted++
	}
	p.counts.Opened++
	p.opening[team]++
	return o, true
}

// leastWorth returns the idle connection that is worth the least: that of the least
// popular team for each of its idle connections, of equal ones the oldest.
func (p *Pool) leastWorth(now time.Duration) int {
	idle := map[string]float64{}
	for _, c := range p.idle {
		idle[c.Team]++
	}
	least, worth := 0, math.Inf(1)
	for i, c := range p.idle {
		if w := p.popular.of(c.Team, now) / idle[c.Team]; w < worth {
			least, worth = i, w
		}
	}
	return least
}

// nextTeam returns the team of the first waiter for which no connection is being
// opened yet.
func (p *Pool) nextTeam(now time.Duration) (string, bool) {
	lacking := make(map[string]int, len(p.waiting))
	for _, w := range p.waiting {
		lacking[w.Team]++
	}
	best := -1
	for i, w := range p.waiting {
		if lacking[w.Team] > p.opening[w.Team] && (best < 0 || w.before(p.waiting[best], now)) {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	return p.waiting[best].Team, true
}
