// Package connpool shares a host's connections to one member among the
// statements that wait for them, and decides when to open, close or refuse.
//
// Load pattern: members take 16 to 55 connections from 7 to 9 hosts, and a few
// milliseconds per statement, while a surge offers several times what they
// serve. A connection that is open bounds a host's share of the member's own
// queue. Statements beyond that wait here, where they can be ordered and
// refused in time, rather than there, where they cannot.
package connpool

import "time"

// ConnID names a connection; the caller chooses it.
type ConnID uint64

// Limits bound one pool.
type Limits struct {
	// Max is the most connections that this host opens.
	Max int
	// Busy is the most of them that run something at once; zero for all. What is
	// more only keeps connections of other teams at hand.
	Busy int
	// Fair is this host's share of the member's connections. Above it, idle
	// connections are closed soon, because another host may want them.
	Fair int
	// MaxWaiting bounds the statements that wait.
	MaxWaiting int
}

const (
	// crowdedPause is how long no connection is tried after the member refused
	// one because its limit was reached: about the time in which another host
	// returns an idle one.
	crowdedPause = 100 * time.Millisecond
	// failurePause is how long no connection is tried after a failed one, so
	// that a dead member does not draw a connection attempt a statement.
	failurePause = 200 * time.Millisecond
	// idleAboveFair is how long a connection above the fair share may idle. A
	// member's connections are few, and one that idles here is one that a
	// transaction waits for elsewhere; opening it anew costs 12 to 27 ms of a
	// slot, so it outlives the pauses between statements of a busy host.
	idleAboveFair = 150 * time.Millisecond
	// idleSpare is how long a connection may idle beside others. Load pattern:
	// all hosts lose power, and members hold the dead connections for 3 s; the
	// fewer there are, the more is left for the hosts that come back. What was
	// not needed for a second is opened again for a wave, at 12 to 27 ms of a slot.
	idleSpare = time.Second
	// idleAtAll is how long any connection may idle. Members close theirs after
	// 60 s.
	idleAtAll = 45 * time.Second
	// smoothing is the weight of a new sample in the mean time that a
	// connection is held.
	smoothing = 0.1
	// firstHold is the mean hold before the first sample: a statement's work
	// and one trip between regions.
	firstHold = 30 * time.Millisecond
)

// Conn describes a connection to a pool.
type Conn struct {
	ID ConnID
	// Team is in whose name it was opened: only that team's statements may run on
	// it.
	Team string
	// Values identifies the session values that it has.
	Values string
}

// idleConn is a connection that nobody uses.
type idleConn struct {
	Conn
	since time.Duration
}

// Pool decides for one member. It is not safe for concurrent use. Times are
// offsets on any steady clock.
type Pool struct {
	limits Limits
	// idle holds the connections that nobody uses, the one used last at the end.
	idle []idleConn
	// used counts the connections that run something, by team.
	used map[string]int
	// opening counts the connections that are being opened, by team.
	opening map[string]int
	waiting []Waiter
	// quietUntil is when the next connection may be tried.
	quietUntil time.Duration
	// crowded tells that the member answered the newest attempt, but had too
	// many connections.
	crowded bool
	counts  Counts
	// popular tells which teams are likely to ask again.
	popular *popularity
	// hold is the mean time that a connection is kept, run that of one answer of
	// the member, its own queue included.
	hold, run time.Duration
}

// New returns an empty pool.
func New(limits Limits) *Pool {
	return &Pool{limits: limits, used: map[string]int{}, opening: map[string]int{}, popular: newPopularity(), hold: firstHold}
}

// SetLimits changes the limits from the next decision on.
func (p *Pool) SetLimits(l Limits) { p.limits = l }

// Open returns the number of connections, those being opened included.
func (p *Pool) Open() int { return len(p.idle) + p.InUse() + p.beingOpened() }

// beingOpened returns the number of connections that are being opened.
func (p *Pool) beingOpened() int { return total(p.opening) }

// total returns the sum over all teams.
func total(byTeam map[string]int) int {
	sum := 0
	for _, n := range byTeam {
		sum += n
	}
	return sum
}

// less takes one off a team's count.
func less(byTeam map[string]int, team string) {
	byTeam[team]--
	if byTeam[team] == 0 {
		delete(byTeam, team)
	}
}

// busy returns the most connections that may run something at once.
func (p *Pool) busy() int {
	if p.limits.Busy > 0 {
		return min(p.limits.Busy, p.limits.Max)
	}
	return p.limits.Max
}

// hasRoom reports whether one more connection may run something.
func (p *Pool) hasRoom() bool { return p.InUse()+p.beingOpened() < p.busy() }

// InUse returns the number of connections that run something.
func (p *Pool) InUse() int { return total(p.used) }

// Exhausted reports whether every connection that may run something is in use.
func (p *Pool) Exhausted() bool { return p.InUse() >= p.busy() }

// Idle returns the number of connections that nobody uses.
func (p *Pool) Idle() int { return len(p.idle) }

// Waiting returns the number of statements that wait.
func (p *Pool) Waiting() int { return len(p.waiting) }

// Verdict says what became of a request for a connection.
type Verdict uint8

// The verdicts.
const (
	// Granted means that an idle connection is taken.
	Granted Verdict = iota
	// Queued means that the waiter is told later.
	Queued
	// Refused means that the wait would be too long; nothing is queued.
	Refused
)

// Decision is the answer to a request.
type Decision struct {
	Verdict Verdict
	Conn    ConnID
	// RetryAfter is set on a refusal: the wait that was expected.
	RetryAfter time.Duration
}

// Acquire asks for a connection. One that has the session values already that the
// statement needs is preferred.
func (p *Pool) Acquire(w Waiter, now time.Duration) Decision {
	p.popular.asked(w.Team, now)
	if at, found := p.fitting(w); found && !p.Exhausted() {
		return Decision{Verdict: Granted, Conn: p.takeIdle(at)}
	}
	wait := p.expectedWait(w, now)
	if len(p.waiting) >= p.limits.MaxWaiting || now+wait > p.latest(w) {
		return Decision{Verdict: Refused, RetryAfter: wait}
	}
	p.waiting = append(p.waiting, w)
	return Decision{Verdict: Queued}
}

// expectedWait estimates the wait of a statement that joins the queue now.
// Only what is served before it counts: an urgent statement must not be
// refused because of many that will let it pass.
func (p *Pool) expectedWait(w Waiter, now time.Duration) time.Duration {
	if p.hasRoom() {
		return 0
	}
	ahead := 0
	for _, v := range p.waiting {
		if !w.before(v, now) {
			ahead++
		}
	}
	return p.hold * time.Duration(ahead+1) / time.Duration(max(p.InUse()+p.beingOpened(), 1))
}

// RetryOpenAt returns when ShouldOpen may change its answer because a pause
// ends, or zero while none is under way.
func (p *Pool) RetryOpenAt(now time.Duration) time.Duration {
	if now >= p.quietUntil {
		return 0
	}
	return p.quietUntil
}

// Opened adds a connection that ShouldOpen asked for and hands it to a waiter.
func (p *Pool) Opened(c Conn, now time.Duration) (Waiter, bool) {
	less(p.opening, c.Team)
	p.crowded = false
	return p.pass(c, now)
}

// OpenFailed notes that a connection could not be opened in the name of a team.
// Crowded tells that the member answered and has too many.
func (p *Pool) OpenFailed(team string, crowded bool, now time.Duration) {
	less(p.opening, team)
	p.crowded = crowded
	pause := failurePause
	if crowded {
		pause = crowdedPause
	}
	p.quietUntil = max(p.quietUntil, now+pause)
}

// Released returns a connection that is fit for use and hands it to a waiter if
// there is one for it.
func (p *Pool) Released(c Conn, held, now time.Duration) (Waiter, bool) {
	less(p.used, c.Team)
	p.hold += time.Duration(smoothing * float64(held-p.hold))
	w, found := p.pass(c, now)
	if found {
		p.counts.Found++
	}
	return w, found
}

// Closed notes that a connection of a team that was in use is gone.
func (p *Pool) Closed(team string) { less(p.used, team) }

// pass gives a free connection to the first waiter that may use it, or keeps it
// idle.
func (p *Pool) pass(c Conn, now time.Duration) (Waiter, bool) {
	at, found := p.successor(c.Team, now)
	if !found {
		p.idle = append(p.idle, idleConn{Conn: c, since: now})
		return Waiter{}, false
	}
	p.used[c.Team]++
	return p.takeWaiter(at), true
}

// successor returns the waiter that a free connection of a team goes to. It
// returns false where it goes to none: there is none for it, or one of another
// team has waited for so long that the connection is to be closed for it.
func (p *Pool) successor(team string, now time.Duration) (int, bool) {
	at, found := first(p.waiting, now, func(w Waiter) bool { return w.fits(team) })
	if !found || p.Exhausted() {
		return 0, false
	}
	if p.beingOpened() == 0 && p.Open()+1 >= p.busy() {
		other, waits := first(p.waiting, now, func(w Waiter) bool { return !w.fits(team) })
		if waits && p.waiting[other].passes(p.waiting[at], now) {
			return 0, false
		}
	}
	return at, true
}

// lateCheck is how often a late statement is judged anew.
const lateCheck = 50 * time.Millisecond

// Ran notes how long the member took for an answer.
func (p *Pool) Ran(d time.Duration) { p.run += time.Duration(smoothing * float64(d-p.run)) }

// latest returns until when it is of use to start a statement. A member under
// load takes longer, with its queue; twice the mean covers nine answers of ten.
// What starts later takes a slot for an answer that its caller does not wait
// for. A statement that is on time is started in any case.
func (p *Pool) latest(w Waiter) time.Duration {
	return max(w.FreshBy, w.StartBy-2*p.run)
}

// KeepUntil returns until when a queued statement waits before it is judged
// again. It returns false when the statement is to be refused: its time is
// over, or it cannot be served within it even if only late ones were served
// from now on. The caller uses up one of a few tries by a refusal, so a
// statement that may still be served is not refused.
func (p *Pool) KeepUntil(w Waiter, now time.Duration) (time.Duration, bool) {
	switch {
	case now < w.FreshBy:
		return w.FreshBy, true
	case now >= p.latest(w) || p.hopeless(w, now):
		return 0, false
	default:
		return min(p.latest(w), now+lateCheck), true
	}
}

// hopeless reports whether a late statement cannot be served in its time.
func (p *Pool) hopeless(w Waiter, now time.Duration) bool {
	usable := len(p.idle) + p.InUse()
	if usable == 0 {
		// A member that turns connections away still holds those of hosts that
		// lost power, for seconds. Of one that does not answer nothing is hoped.
		return !p.crowded
	}
	ahead := 0
	for _, v := range p.waiting {
		if v.FreshBy < now && v.before(w, now) {
			ahead++
		}
	}
	return now+p.hold*time.Duration(ahead+1)/time.Duration(usable) > p.latest(w)
}

// Leave removes a waiter. It reports whether the waiter was still queued.
func (p *Pool) Leave(id uint64) bool {
	for i, w := range p.waiting {
		if w.ID == id {
			p.takeWaiter(i)
			return true
		}
	}
	return false
}
