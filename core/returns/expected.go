package returns

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// RecognitionWindow is how long after its moment a statement is recognized. It covers
	// the way to the caller and back, between regions and through slow hosts.
	RecognitionWindow = 300 * time.Millisecond
	// MaxExpected bounds the statements that are expected back: more than a member runs
	// until the longest retry time has passed.
	MaxExpected = 4096
	// maxReturns is how often a caller comes back. A statement that is refused again is not
	// recognized any more: another caller with the same text would take its deadlines.
	maxReturns = 2
	// sweepInterval is how often statements that did not come back are removed.
	sweepInterval = 250 * time.Millisecond
)

// Identity identifies a statement by its team and text, because each run of an operation
// has new ids. Zero identifies none.
type Identity uint64

// IdentityOf returns the identity of a team's statement. Statements of the same team and
// text are interchangeable.
func IdentityOf(team string, text ...string) Identity {
	var d xxhash.Digest
	d.Reset()
	for _, part := range append([]string{team}, text...) {
		_, _ = d.WriteString(part)
		// Separates the parts, so that a team's name cannot continue in a text.
		_, _ = d.Write([]byte{0})
	}
	return Identity(max(d.Sum64(), 1))
}

// Return is a statement that has come back.
type Return struct {
	// Refusals is how often it was refused.
	Refusals int
	// TargetDeadline and Latest are those of its first run.
	TargetDeadline, Latest time.Duration
}

// awaited is a refused statement that may come back.
type awaited struct {
	Return
	moment time.Duration
}

func (w awaited) due(now time.Duration) bool {
	return w.moment <= now && now <= w.moment+RecognitionWindow
}

// expected holds the statements that may come back.
type expected struct {
	byIdentity map[Identity][]awaited
	count      int
	sweptAt    time.Duration
}

func newExpected() expected { return expected{byIdentity: map[Identity][]awaited{}} }

// add expects a refused statement back at a moment. At the bounds it is not recognized,
// and returns as a statement that comes for the first time.
func (e *expected) add(r Refusal, moment, now time.Duration) {
	e.sweep(now)
	if r.Identity == 0 || e.count >= MaxExpected || r.Return.Refusals >= maxReturns {
		return
	}
	next := Return{Refusals: 1, TargetDeadline: r.TargetDeadline, Latest: r.Latest}
	if r.Return.Refusals > 0 {
		next = r.Return
		next.Refusals++
	}
	e.byIdentity[r.Identity] = append(e.byIdentity[r.Identity], awaited{next, moment})
	e.count++
}

// take removes and returns the statement that has been due longest.
func (e *expected) take(id Identity, now time.Duration) (Return, bool) {
	e.sweep(now)
	list := e.byIdentity[id]
	best := -1
	for i, w := range list {
		if w.due(now) && (best < 0 || w.moment < list[best].moment) {
			best = i
		}
	}
	if best < 0 {
		return Return{}, false
	}
	found := list[best].Return
	e.set(id, slices.Delete(list, best, best+1))
	e.count--
	return found, true
}

// set replaces the statements of an identity.
func (e *expected) set(id Identity, list []awaited) {
	if len(list) == 0 {
		delete(e.byIdentity, id)
		return
	}
	e.byIdentity[id] = list
}

// sweep removes the statements that are no longer recognized.
func (e *expected) sweep(now time.Duration) {
	if now-e.sweptAt < sweepInterval {
		return
	}
	e.sweptAt, e.count = now, 0
	for id, list := range e.byIdentity {
		list = slices.DeleteFunc(list, func(w awaited) bool { return now > w.moment+RecognitionWindow })
		e.set(id, list)
		e.count += len(list)
	}
}

// Arrive records a statement that asks to be served. It returns the return if the
// statement was refused before and comes back at its moment.
func (s *Schedule) Arrive(now time.Duration, team string, text ...string) (Return, bool) {
	if s.expected.count > 0 {
		if found, ok := s.expected.take(IdentityOf(team, text...), now); ok {
			return found, true
		}
	}
	s.arrivals.observe(now)
	return Return{}, false
}

// Expected returns how many refused statements may come back.
func (s *Schedule) Expected() int { return s.expected.count }
