package connpool

import (
	"maps"
	"slices"
	"time"
)

// findIdle returns the index of the idle connection that suits a statement best:
// one of its team with its session values, else the team's most recently used
// one, so that the others can reach their idle timeout.
func (p *Pool) findIdle(w Waiter) (int, bool) {
	best := -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if !w.canUse(c.Team) {
			continue
		}
		if c.SessionValues == w.SessionValues {
			return i, true
		}
		if best < 0 {
			best = i
		}
	}
	return best, best >= 0
}

// acquireIdle takes an idle connection into use.
func (p *Pool) acquireIdle(index int) ConnID {
	p.counts.Reused++
	p.inUse[p.idle[index].Team]++
	return p.removeIdle(index)
}

func (p *Pool) removeIdle(index int) ConnID {
	id := p.idle[index].ID
	p.idle = append(p.idle[:index], p.idle[index+1:]...)
	return id
}

// AssignIdle assigns an idle connection to a waiter that was queued because
// MaxActive connections were in use. Call it until it returns false, and again after
// BeginOpen has returned a connection.
func (p *Pool) AssignIdle(now time.Duration) (ConnID, Waiter, bool) {
	index, found := p.nextForIdle(now)
	if !found {
		return 0, Waiter{}, false
	}
	w := p.startWaiter(index, now)
	idleIndex, _ := p.findIdle(w)
	return p.acquireIdle(idleIndex), w, true
}

// hasIdle reports whether an idle connection suits a statement.
func (p *Pool) hasIdle(w Waiter) bool {
	return slices.ContainsFunc(p.idle, func(c idleConn) bool { return w.canUse(c.Team) })
}

// startWaiter removes a waiter that is assigned a connection.
func (p *Pool) startWaiter(index int, now time.Duration) Waiter {
	w := p.queue.Remove(index)
	p.queue.Started(w.Team, w.Priority, w.OnTimeUntil < now, now)
	return w
}

// RemoveAllIdle removes all idle connections and returns them for closing, after the
// member failed or was removed.
func (p *Pool) RemoveAllIdle() []ConnID {
	var ids []ConnID
	for _, c := range p.idle {
		ids = append(ids, c.ID)
	}
	p.idle = nil
	return ids
}

// NextIdleExpiry returns when ExpireIdle next has a connection to close if nothing
// else changes, or zero if there is none. No expiry is scheduled for a single open
// connection within the fair share.
func (p *Pool) NextIdleExpiry() time.Duration {
	if len(p.idle) == 0 || p.Open() <= min(p.limits.FairShare, 1) {
		return 0
	}
	open := p.OpenByTeam()
	var earliest time.Duration
	for i, c := range p.idle {
		if expiry := c.idleSince + p.idleTimeout(p.Open(), open[c.Team]); i == 0 || expiry < earliest {
			earliest = expiry
		}
	}
	return earliest
}

// OpenByTeam returns the number of connections of each team: those in use, idle and
// being opened.
func (p *Pool) OpenByTeam() map[string]int {
	open := maps.Clone(p.inUse)
	for team, n := range p.opening {
		open[team] += n
	}
	for _, c := range p.idle {
		open[c.Team]++
	}
	return open
}

// idleTimeout returns the idle timeout of a connection, given the number of open
// connections in total and of its team.
func (p *Pool) idleTimeout(open, ofTeam int) time.Duration {
	switch {
	case open > p.limits.FairShare:
		return idleTimeoutAboveFairShare
	case ofTeam > 1:
		return extraIdleTimeout
	default:
		return maxIdleTimeout
	}
}

// ExpireIdle removes the connections that have reached their idle timeout and
// returns them for closing. The timeouts of later connections take those removed
// before into account, so that a team's most recently used connection is kept
// longest.
func (p *Pool) ExpireIdle(now time.Duration) []ConnID {
	var expired []ConnID
	open, byTeam := p.Open(), p.OpenByTeam()
	kept := p.idle[:0:0]
	for _, c := range p.idle {
		if now-c.idleSince < p.idleTimeout(open, byTeam[c.Team]) {
			kept = append(kept, c)
			continue
		}
		expired = append(expired, c.ID)
		open--
		byTeam[c.Team]--
	}
	p.idle = kept
	return expired
}
