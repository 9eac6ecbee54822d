// Package connpool shares a host's connections to one member among the statements
// that wait for them. It decides when to open and close connections and which
// statements to refuse; its user does the I/O.
//
// The number of connections bounds a host's share of the member's own queue. Excess
// statements wait here, where they can be ordered by urgency and refused in time,
// rather than in the member's queue.
//
// A statement is on time until it has waited for OnTimeWaitFraction of its latency
// target, and late from then on. Late statements are served after those on time, and
// refused once they cannot be started by their start deadline.
package connpool

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/slotqueue"
)

// ConnID identifies a connection. It is chosen by the user of the pool.
type ConnID uint64

// Limits are the limits of one pool.
type Limits struct {
	// MaxOpen is the maximum number of open connections.
	MaxOpen int
	// MaxActive is the maximum number of connections in use at once; zero means
	// MaxOpen. Connections beyond it are kept open for other teams.
	MaxActive int
	// FairShare is this host's share of the member's connections. Above it the idle
	// timeout is short, because other hosts may need the connections.
	FairShare int
	// MaxWaiting is the maximum number of waiting statements.
	MaxWaiting int
	// Unfair disables the fair order among teams and classes, and the displacement and
	// the early refusal of waiting statements.
	Unfair bool
}

const (
	// atLimitBackoff is the pause before the next attempt after the member refused
	// a connection because its connection limit was reached: about the time in which
	// another host returns an idle one.
	atLimitBackoff = 100 * time.Millisecond
	// failureBackoff is the pause before the next attempt after a connection failed,
	// so that an unreachable member does not cause an attempt per statement.
	failureBackoff = 200 * time.Millisecond
	// idleTimeoutAboveFairShare is the idle timeout of connections above the fair
	// share. It is short, because other hosts may need the connections, but exceeds
	// the pauses between statements of a busy host, because opening costs the member
	// 12 to 27 ms of a slot.
	idleTimeoutAboveFairShare = 150 * time.Millisecond
	// extraIdleTimeout is the idle timeout of a connection whose team has others.
	// Closing extra connections leaves more of the member's limit to restarted hosts
	// while the member still has their half-open connections, for 3 s.
	extraIdleTimeout = time.Second
	// maxIdleTimeout is the idle timeout of any other connection. It is shorter than
	// the idle timeout of the members, which is 60 s.
	maxIdleTimeout = 45 * time.Second
	// meanSampleWeight is the weight of a new sample in the moving averages.
	meanSampleWeight = 0.1
	// initialMeanHoldTime is the mean hold time before the first sample: a statement's
	// execution and one round trip between regions.
	initialMeanHoldTime = 30 * time.Millisecond
)

// Conn describes a connection to the pool.
type Conn struct {
	ID ConnID
	// Team is the team that the connection was opened for. Only statements of this
	// team, or with AnyTeam, may run on it.
	Team string
	// SessionValues identifies the session values that are set on the connection.
	SessionValues string
}

type idleConn struct {
	Conn
	idleSince time.Duration
}

// Pool manages the connections to one member. It is not safe for concurrent use.
// Times are offsets on a monotonic clock.
type Pool struct {
	limits Limits
	// idle holds the idle connections, the most recently used last.
	idle []idleConn
	// inUse is the number of connections in use, by team.
	inUse map[string]int
	// opening is the number of connections being opened, by team.
	opening map[string]int
	// queue holds the waiting statements.
	queue *slotqueue.Queue[Waiter]
	// dropped holds the statements that were displaced or became hopeless since the last
	// call of TakeDropped.
	dropped []Dropped
	// nextCheck is the index of the waiting statement that is next checked for whether
	// it can still be started in time.
	nextCheck int
	// backoffUntil is when the next connection may be opened.
	backoffUntil time.Duration
	// memberAtLimit is set if the member refused the most recent attempt because its
	// connection limit was reached.
	memberAtLimit bool
	counts        Counts
	// demand estimates which teams are likely to need a connection again.
	demand *teamDemand
	// meanHoldTime is the mean time for which a statement holds a connection, and
	// meanResponseTime the mean response time of the member, including its queue.
	meanHoldTime, meanResponseTime time.Duration
	pace                           servicePace
}

// New returns an empty pool.
func New(limits Limits) *Pool {
	return &Pool{
		limits: limits, inUse: map[string]int{}, opening: map[string]int{}, demand: newTeamDemand(), meanHoldTime: initialMeanHoldTime,
		queue: slotqueue.New[Waiter](limits.MaxWaiting, !limits.Unfair),
	}
}

// SetLimits changes the limits for future decisions, except Unfair.
func (p *Pool) SetLimits(l Limits) {
	l.Unfair = p.limits.Unfair
	p.limits = l
	p.queue.SetMaxWaiting(l.MaxWaiting)
}

// Open returns the number of connections, including those being opened.
func (p *Pool) Open() int { return len(p.idle) + p.InUse() + p.openingCount() }

func (p *Pool) openingCount() int { return total(p.opening) }

// total returns the sum over all teams.
func total(byTeam map[string]int) int {
	sum := 0
	for _, n := range byTeam {
		sum += n
	}
	return sum
}

// decrement decreases a team's count and removes the team at zero.
func decrement(byTeam map[string]int, team string) {
	byTeam[team]--
	if byTeam[team] == 0 {
		delete(byTeam, team)
	}
}

// maxActive returns the maximum number of connections in use at once.
func (p *Pool) maxActive() int {
	if p.limits.MaxActive > 0 {
		return min(p.limits.MaxActive, p.limits.MaxOpen)
	}
	return p.limits.MaxOpen
}

// belowMaxActive reports whether one more connection may be used or opened for use.
func (p *Pool) belowMaxActive() bool { return p.InUse()+p.openingCount() < p.maxActive() }

// InUse returns the number of connections in use.
func (p *Pool) InUse() int { return total(p.inUse) }

// Exhausted reports whether the maximum number of connections is in use.
func (p *Pool) Exhausted() bool { return p.InUse() >= p.maxActive() }

// Idle returns the number of idle connections.
func (p *Pool) Idle() int { return len(p.idle) }

// Waiting returns the number of waiting statements.
func (p *Pool) Waiting() int { return p.queue.Len() }

// Outcome is the result of a request for a connection.
type Outcome uint8

const (
	// Granted means that an idle connection was taken.
	Granted Outcome = iota
	// Queued means that the statement waits; a connection is assigned to it later.
	Queued
	// Refused means that the wait would be too long; nothing is queued.
	Refused
)

// Decision is the answer to a request for a connection.
type Decision struct {
	Outcome Outcome
	Conn    ConnID
	// RetryAfter is the expected wait of a refused statement.
	RetryAfter time.Duration
}

// Acquire requests a connection, preferably one that already has the required
// session values.
func (p *Pool) Acquire(w Waiter, now time.Duration) Decision {
	p.demand.record(w.Team, now)
	if index, found := p.findIdle(w); found && !p.Exhausted() {
		p.queue.Started(w.Team, w.Priority, w.OnTimeUntil < now, now)
		return Decision{Outcome: Granted, Conn: p.acquireIdle(index)}
	}
	wait := p.expectedWait(w, now)
	if now+wait > p.latestUsefulStart(w) {
		return Decision{Outcome: Refused, RetryAfter: wait}
	}
	if displaced, full := p.queue.Push(w.statement(), w, now); full {
		if displaced.ID == w.ID {
			return Decision{Outcome: Refused, RetryAfter: wait}
		}
		p.dropped = append(p.dropped, Dropped{Waiter: displaced, Displaced: true, By: w, RetryAfter: p.expectedWait(displaced, now)})
	}
	if !p.limits.Unfair {
		p.dropHopeless(now)
	}
	return Decision{Outcome: Queued}
}

// startInterval returns the mean interval between starts while the given number of
// connections is in use.
func (p *Pool) startInterval(inUse int) time.Duration {
	return p.meanHoldTime / time.Duration(max(inUse, 1))
}

// expectedWait estimates the wait of a statement that joins the queue now. Only
// waiters that are served before it count, so that an urgent statement is not
// refused because of a long queue of less urgent ones.
func (p *Pool) expectedWait(w Waiter, now time.Duration) time.Duration {
	if p.belowMaxActive() {
		return 0
	}
	return p.queue.Wait(w.statement(), now, p.startInterval(p.InUse()+p.openingCount()), func(slotqueue.Statement) bool { return true })
}

// RetryOpenAt returns when the current backoff ends and BeginOpen should be called
// again, or zero if there is no backoff.
func (p *Pool) RetryOpenAt(now time.Duration) time.Duration {
	if now >= p.backoffUntil {
		return 0
	}
	return p.backoffUntil
}

// Opened adds a connection requested by BeginOpen and assigns it to a waiter, if
// there is one for it. Waiters that need a fresh connection go first.
func (p *Pool) Opened(c Conn, now time.Duration) (Waiter, bool) {
	decrement(p.opening, c.Team)
	p.memberAtLimit = false
	index, found := p.queue.Next(now, func(w Waiter) bool { return w.Fresh && w.matches(c.Team) })
	if found && !p.Exhausted() {
		p.inUse[c.Team]++
		return p.startWaiter(index, now), true
	}
	return p.assignOrIdle(c, now)
}

// OpenFailed records that a connection for a team could not be opened. atLimit is
// set if the member refused it because its connection limit was reached.
func (p *Pool) OpenFailed(team string, atLimit bool, now time.Duration) {
	decrement(p.opening, team)
	p.memberAtLimit = atLimit
	backoff := failureBackoff
	if atLimit {
		backoff = atLimitBackoff
	}
	p.backoffUntil = max(p.backoffUntil, now+backoff)
}

// Released returns a usable connection to the pool after a statement has held it for
// holdTime, and assigns it to a waiter if there is one for it.
func (p *Pool) Released(c Conn, holdTime, now time.Duration) (Waiter, bool) {
	p.observeRelease(now)
	decrement(p.inUse, c.Team)
	p.queue.Ended(c.Team, holdTime)
	p.meanHoldTime += time.Duration(meanSampleWeight * float64(holdTime-p.meanHoldTime))
	p.queue.SetCost(p.meanHoldTime)
	w, found := p.assignOrIdle(c, now)
	if found {
		p.counts.Reused++
	}
	return w, found
}

// Closed records that a connection of a team was closed after a statement has held it for
// holdTime.
func (p *Pool) Closed(team string, holdTime time.Duration) {
	decrement(p.inUse, team)
	p.queue.Ended(team, holdTime)
}

// assignOrIdle assigns a free connection to the next waiter that may use it, or
// keeps it idle.
func (p *Pool) assignOrIdle(c Conn, now time.Duration) (Waiter, bool) {
	if p.limits.Unfair {
		index, found := p.waiterForFreed(c.Team, now)
		if found {
			p.inUse[c.Team]++
			return p.startWaiter(index, now), true
		}
	}
	p.idle = append(p.idle, idleConn{Conn: c, idleSince: now})
	if p.limits.Unfair {
		return Waiter{}, false
	}
	index, found := p.nextForIdle(now)
	if !found || !p.queue.At(index).canUse(c.Team) {
		return Waiter{}, false
	}
	p.idle = p.idle[:len(p.idle)-1]
	p.inUse[c.Team]++
	return p.startWaiter(index, now), true
}

// waiterForFreed returns the waiter that a freed connection of a team is assigned
// to in an unfair pool. It returns false if there is none, or if the connection is to be
// evicted for a more urgent waiter of another team.
func (p *Pool) waiterForFreed(team string, now time.Duration) (int, bool) {
	index, found := p.queue.Next(now, func(w Waiter) bool { return w.canUse(team) })
	if !found || p.Exhausted() {
		return 0, false
	}
	if p.openingCount() > 0 || p.Open()+1 < p.maxActive() {
		return index, true
	}
	other, otherFound := p.queue.Next(now, func(w Waiter) bool { return !w.canUse(team) })
	return index, !otherFound || !p.queue.Before(other, index, now, teamSwitchMargin)
}

// nextForIdle returns the index of the waiter that is assigned an idle connection next.
// It returns false if there is none, or if a connection is to be opened first for one
// that precedes it by more than the cost of that.
func (p *Pool) nextForIdle(now time.Duration) (int, bool) {
	if p.Exhausted() || len(p.idle) == 0 {
		return 0, false
	}
	index, found := p.queue.Next(now, p.hasIdle)
	if !found || p.limits.Unfair || p.openingCount() > 0 {
		// At most one connection is opened ahead of those that could run: several would
		// use up the member's slots when more teams wait than it accepts connections.
		return index, found
	}
	opening, due := p.nextOpening(now)
	return index, !due || !p.queue.Before(opening.waiter, index, now, teamSwitchMargin)
}

// lateRecheckInterval is how often WaitUntil is evaluated for a late statement.
const lateRecheckInterval = 50 * time.Millisecond

// ObserveResponse records a response time of the member.
func (p *Pool) ObserveResponse(responseTime time.Duration) {
	p.meanResponseTime += time.Duration(meanSampleWeight * float64(responseTime-p.meanResponseTime))
}

// latestUsefulStart returns the latest time at which starting a statement is useful.
// Response times vary, so twice the mean is reserved before the start deadline: a
// response after the caller's timeout wastes a slot. A statement that is on time is
// always started.
func (p *Pool) latestUsefulStart(w Waiter) time.Duration {
	return max(w.OnTimeUntil, w.StartDeadline-2*p.meanResponseTime)
}

// WaitUntil returns when to call it again for a queued statement that is still
// waiting then. It returns false if the statement is to be refused, because it
// cannot be started in time. Late statements are kept while they can still be
// served, because callers retry only a few times.
func (p *Pool) WaitUntil(w Waiter, now time.Duration) (time.Duration, bool) {
	switch {
	case now < w.OnTimeUntil:
		return w.OnTimeUntil, true
	case now >= p.latestUsefulStart(w) || p.cannotServeInTime(w, now):
		return 0, false
	default:
		return min(p.latestUsefulStart(w), now+lateRecheckInterval), true
	}
}

// cannotServeInTime reports whether a statement cannot be started in time even if no
// on-time statement of its class is served before it. In an unfair pool those of more
// important classes do not count either. Shortly before a late statement's latest useful
// start, it is also taken for hopeless if no late one was started lately.
func (p *Pool) cannotServeInTime(w Waiter, now time.Duration) bool {
	established := len(p.idle) + p.InUse()
	if established == 0 {
		// A member at its connection limit soon drops the connections of crashed
		// hosts. An unreachable member gives no reason to wait.
		return !p.memberAtLimit
	}
	if !p.limits.Unfair {
		established = min(established, p.maxActive())
	}
	interval, latest := p.startInterval(established), p.latestUsefulStart(w)
	if w.OnTimeUntil < now && latest-now < slotqueue.RateTime && p.queue.LateStarved(w.Priority, now, interval) {
		return true
	}
	return now+p.queue.Wait(w.statement(), now, interval, func(v slotqueue.Statement) bool {
		return v.OnTimeUntil < now || (!p.limits.Unfair && v.Priority < w.Priority)
	}) > latest
}

// CancelWait removes a waiter. It reports whether the waiter was still queued.
func (p *Pool) CancelWait(id uint64) bool {
	return p.queue.RemoveID(id)
}
