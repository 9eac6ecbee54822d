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
	"time"
)

// ConnID names a connection; the caller chooses it.
type ConnID uint64

// Limits bound one pool.
type Limits struct {
	// Max is the most connections that this host opens.
	Max int
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

// idleConn is a connection that nobody uses.
type idleConn struct {
	id     ConnID
	values string
	since  time.Duration
}

// Pool decides for one member. It is not safe for concurrent use. Times are
// offsets on any steady clock.
type Pool struct {
	limits  Limits
	idle    []idleConn
	inUse   int
	opening int
	waiting []Waiter
	// quietUntil is when the next connection may be tried.
	quietUntil time.Duration
	// crowded tells that the member answered the newest attempt, but had too
	// many connections.
	crowded bool
	// hold is the mean time that a connection is kept, run that of one answer of
	// the member, its own queue included.
	hold, run time.Duration
}

// New returns an empty pool.
func New(limits Limits) *Pool { return &Pool{limits: limits, hold: firstHold} }

// SetLimits changes the limits from the next decision on.
func (p *Pool) SetLimits(l Limits) { p.limits = l }

// Open returns the number of connections, those being opened included.
func (p *Pool) Open() int { return len(p.idle) + p.inUse + p.opening }

// InUse returns the number of connections that run something.
func (p *Pool) InUse() int { return p.inUse }

// Exhausted reports whether every connection that may be opened is in use.
func (p *Pool) Exhausted() bool { return p.inUse >= p.limits.Max }

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

// Acquire asks for a connection. Values identifies the session values that the
// statement needs; a connection that has them already is preferred.
func (p *Pool) Acquire(w Waiter, now time.Duration) Decision {
	if len(p.idle) > 0 {
		p.inUse++
		return Decision{Verdict: Granted, Conn: p.takeIdle(w.Values)}
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
	if p.Open() < p.limits.Max {
		return 0
	}
	ahead := 0
	for _, v := range p.waiting {
		if !w.before(v, now) {
			ahead++
		}
	}
	return p.hold * time.Duration(ahead+1) / time.Duration(max(p.Open(), 1))
}

// takeIdle removes the idle connection that fits best: equal values, else the
// one used last, so that the rest can idle long enough to be closed.
func (p *Pool) takeIdle(values string) ConnID {
	best := len(p.idle) - 1
	for i := best; i >= 0; i-- {
		if p.idle[i].values == values {
			best = i
			break
		}
	}
	id := p.idle[best].id
	p.idle = append(p.idle[:best], p.idle[best+1:]...)
	return id
}

// ShouldOpen reports whether a connection is to be opened now, and counts it
// as being opened. Call it until it returns false.
func (p *Pool) ShouldOpen(now time.Duration) bool {
	if now < p.quietUntil || p.Open() >= p.limits.Max || p.opening >= len(p.waiting) {
		return false
	}
	p.opening++
	return true
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
func (p *Pool) Opened(id ConnID, now time.Duration) (Waiter, bool) {
	p.opening--
	p.crowded = false
	return p.pass(id, "", now)
}

// OpenFailed notes that a connection could not be opened. Crowded tells that
// the member answered and has too many.
func (p *Pool) OpenFailed(crowded bool, now time.Duration) {
	p.opening--
	p.crowded = crowded
	pause := failurePause
	if crowded {
		pause = crowdedPause
	}
	p.quietUntil = max(p.quietUntil, now+pause)
}

// Released returns a connection that is fit for use, with the values that it
// has, and hands it to a waiter if there is one.
func (p *Pool) Released(id ConnID, values string, held, now time.Duration) (Waiter, bool) {
	p.inUse--
	p.hold += time.Duration(smoothing * float64(held-p.hold))
	return p.pass(id, values, now)
}

// Closed notes that a connection in use is gone.
func (p *Pool) Closed() { p.inUse-- }

// pass gives a free connection to the first waiter, or keeps it idle.
func (p *Pool) pass(id ConnID, values string, now time.Duration) (Waiter, bool) {
	if len(p.waiting) == 0 {
		p.idle = append(p.idle, idleConn{id: id, values: values, since: now})
		return Waiter{}, false
	}
	at := first(p.waiting, now)
	w := p.waiting[at]
	p.waiting = append(p.waiting[:at], p.waiting[at+1:]...)
	p.inUse++
	return w, true
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
	usable := len(p.idle) + p.inUse
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
		ids = append(ids, c.id)
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
	return p.idle[0].since + p.idleFor(p.Open())
}

// idleFor returns how long a connection may idle while the given number is
// open.
func (p *Pool) idleFor(open int) time.Duration {
	switch {
	case open > p.limits.Fair:
		return idleAboveFair
	case open > 1:
		return idleSpare
	default:
		return idleAtAll
	}
}

// Surplus removes and returns the idle connections that are to be closed. The
// one that was used last is the last to go.
func (p *Pool) Surplus(now time.Duration) []ConnID {
	var out []ConnID
	open := p.Open()
	for len(p.idle) > 0 && now-p.idle[0].since >= p.idleFor(open) {
		out = append(out, p.idle[0].id)
		p.idle = p.idle[1:]
		open--
	}
	return out
}
