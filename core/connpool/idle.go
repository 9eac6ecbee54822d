package connpool

import (
	"maps"
	"time"
)

// fitting returns where the idle connection is that fits a statement best: of its
// team, and with its values if there is one; else the one used last, so that the
// rest can idle long enough to be closed.
func (p *Pool) fitting(w Waiter) (int, bool) {
	best := -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if !w.fits(c.Team) {
			continue
		}
		if c.Values == w.Values {
			return i, true
		}
		if best < 0 {
			best = i
		}
	}
	return best, best >= 0
}

// takeIdle puts an idle connection into use.
func (p *Pool) takeIdle(at int) ConnID {
	p.counts.Found++
	p.used[p.idle[at].Team]++
	return p.removeIdle(at)
}

func (p *Pool) removeIdle(at int) ConnID {
	id := p.idle[at].ID
	p.idle = append(p.idle[:at], p.idle[at+1:]...)
	return id
}

// Assign hands an idle connection to a waiter that could not have it while all
// that may run something did. Call it until it returns false.
func (p *Pool) Assign(now time.Duration) (ConnID, Waiter, bool) {
	if p.Exhausted() || len(p.idle) == 0 {
		return 0, Waiter{}, false
	}
	at, found := first(p.waiting, now, func(w Waiter) bool {
		_, fits := p.fitting(w)
		return fits
	})
	if !found {
		return 0, Waiter{}, false
	}
	w := p.takeWaiter(at)
	conn, _ := p.fitting(w)
	return p.takeIdle(conn), w, true
}

func (p *Pool) takeWaiter(at int) Waiter {
	w := p.waiting[at]
	p.waiting = append(p.waiting[:at], p.waiting[at+1:]...)
	return w
}

// DropIdle removes all idle connections, which the caller closes, because the
// member failed.
func (p *Pool) DropIdle() []ConnID {
	var ids []ConnID
	for _, c := range p.idle {
		ids = append(ids, c.ID)
	}
	p.idle = nil
	return ids
}

// SurplusAt returns when Surplus next has something to close if nothing
// changes, or zero while there is nothing that it might close soon.
func (p *Pool) SurplusAt() time.Duration {
	if len(p.idle) == 0 || p.Open() <= min(p.limits.Fair, 1) {
		return 0
	}
	open := p.OpenByTeam()
	var soonest time.Duration
	for i, c := range p.idle {
		if at := c.since + p.idleFor(p.Open(), open[c.Team]); i == 0 || at < soonest {
			soonest = at
		}
	}
	return soonest
}

// OpenByTeam counts the connections, those being opened included, by team.
func (p *Pool) OpenByTeam() map[string]int {
	open := maps.Clone(p.used)
	for team, n := range p.opening {
		open[team] += n
	}
	for _, c := range p.idle {
		open[c.Team]++
	}
	return open
}

// idleFor returns how long a connection may idle while the given number is
// open, and of its own team.
func (p *Pool) idleFor(open, ofTeam int) time.Duration {
	switch {
	case open > p.limits.Fair:
		return idleAboveFair
	case ofTeam > 1:
		return idleSpare
	default:
		return idleAtAll
	}
}

// Surplus removes and returns the idle connections that are to be closed. The
// one of a team that was used last is the last to go.
func (p *Pool) Surplus(now time.Duration) []ConnID {
	var out []ConnID
	open, byTeam := p.Open(), p.OpenByTeam()
	kept := p.idle[:0:0]
	for _, c := range p.idle {
		if now-c.since < p.idleFor(open, byTeam[c.Team]) {
			kept = append(kept, c)
			continue
		}
		out = append(out, c.ID)
		open--
		byTeam[c.Team]--
	}
	p.idle = kept
	return out
}
