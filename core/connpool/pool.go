// Package connpool shares a host's connections to one member among the
// statements that wait for them, and decides when to open, close or refuse.
//
// Load pattern: members take 16 to 55 connections from 7 to 9 hosts, and a few
// milliseconds per statement, while a surge offers several times what they
// serve. A connection that is open bounds a host's share of the member's own
// queue. Statements beyond that wait here, where they can be ordered and
// refused in time, rather than there, where they cannot.
package connpool

import (
	"maps"
	"time"
)

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
	// hold is the mean time that a connection is kept, run that of one answer of
	// the member, its own queue included.
	hold, run time.Duration
}

// New returns an empty pool.
func New(limits Limits) *Pool {
	return &Pool{limits: limits, used: map[string]int{}, opening: map[string]int{}, hold: firstHold}
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

// Counts are what a pool has done since they were last taken.
type Counts struct {
	// Found counts statements that ran on a connection that was open, Opened the
	// connections that were opened, and Evicted those of them for which another
	// team's was closed.
	Found, Opened, Evicted int
}

// Add sums counts of several pools.
func (c *Counts) Add(o Counts) {
	c.Found += o.Found
	c.Opened += o.Opened
	c.Evicted += o.Evicted
}

// TakeCounts returns the counts since it was last called.
func (p *Pool) TakeCounts() Counts {
	c := p.counts
	p.counts = Counts{}
	return c
}

// OpenByTeam counts the connections, those being opened included, by team.
func (p *Pool) OpenByTeam() map[string]int { return p.openByTeam() }

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
// a connection serves one team. The connection that was idle longest gives way: of
// the teams that call now and then, the ones that called last are the likeliest to
// call again.
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
		o.Evicts, o.Evicted = true, p.removeIdle(0)
		p.counts.Evicted++
	}
	p.counts.Opened++
	p.opening[team]++
	return o, true
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
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return true
		}
	}
	return false
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
	open := p.openByTeam()
	var soonest time.Duration
	for i, c := range p.idle {
		if at := c.since + p.idleFor(p.Open(), open[c.Team]); i == 0 || at < soonest {
			soonest = at
		}
	}
	return soonest
}

// openByTeam counts all connections by team.
func (p *Pool) openByTeam() map[string]int {
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
	open, byTeam := p.Open(), p.openByTeam()
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
