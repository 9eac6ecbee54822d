// Package fresh tracks, for one service, the log positions that bound how stale
// a read may be. The floor of a read is the lowest log position at which it may be
// served: a member must have applied its log at least up to the floor.
//
// A position that the primary reports in answer to a request sent at time t
// covers every commit acknowledged before t. Only an exchange that confirms the
// primary counts (see core/succession): a stale primary would report a position
// that lacks the commits of its successor.
package fresh

import (
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

const (
	// minSampleInterval is the least time between retained samples. Closer ones hardly
	// move a bound of a second or more.
	minSampleInterval = 20 * time.Millisecond
	// sampleRetention is the maximum age of samples. A read with a longer
	// staleness bound uses the oldest sample.
	sampleRetention = 10 * time.Second
)

// sample is a position that covers every commit acknowledged before sent.
type sample struct {
	sent     time.Duration
	position logpos.Position
}

// Floors holds the samples of the newest term. Times are from a clock that
// includes time in system suspend. It is not safe for concurrent use.
type Floors struct {
	term    logpos.Term
	samples []sample
}

// Term returns the newest term in which a primary was confirmed.
func (f *Floors) Term() logpos.Term { return f.term }

// Observe records a position that the primary of its term reported in answer to
// a request sent at the given time.
func (f *Floors) Observe(p logpos.Position, sent time.Duration) { f.ObserveInTerm(p.Term, p, sent) }

// ObserveInTerm records a position from an exchange, sent at the given time,
// that confirmed the answering member as the primary of a term. Until a new
// primary has written, its position is of an older term. A newer term drops all
// earlier samples: the promotion may have rolled back what they cover, and a
// read that required it would never be served.
func (f *Floors) ObserveInTerm(term logpos.Term, p logpos.Position, sent time.Duration) {
	term = max(term, p.Term)
	if term < f.term || p.IsZero() {
		return
	}
	if term > f.term {
		f.term = term
		f.samples = f.samples[:0]
	}
	f.insert(sample{sent: sent, position: p})
}

func maxPosition(a, b logpos.Position) logpos.Position {
	if a.Less(b) {
		return b
	}
	return a
}

// insert adds a sample that may arrive out of order. It keeps the samples
// ordered by time, with positions that never decrease.
func (f *Floors) insert(s sample) {
	at, _ := slices.BinarySearchFunc(f.samples, s, func(a, b sample) int { return int(a.sent - b.sent) })
	if at > 0 && s.sent-f.samples[at-1].sent < minSampleInterval && at < len(f.samples) {
		return
	}
	if at > 0 {
		// A later request covers everything that an earlier one does.
		s.position = maxPosition(s.position, f.samples[at-1].position)
	}
	if at > 1 && at == len(f.samples) && s.sent-f.samples[at-2].sent < minSampleInterval {
		f.samples[at-1] = s
		return
	}
	f.samples = slices.Insert(f.samples, at, s)
	for i := at + 1; i < len(f.samples); i++ {
		f.samples[i].position = maxPosition(f.samples[i].position, s.position)
	}
	f.expire(f.samples[len(f.samples)-1].sent - sampleRetention)
}

func (f *Floors) expire(before time.Duration) {
	n := 0
	for n < len(f.samples)-1 && f.samples[n].sent < before {
		n++
	}
	f.samples = slices.Delete(f.samples, 0, n)
}

// Lookup returns the lowest position at which a read may be served: one that
// covers every commit acknowledged before notBefore, and the session's own last
// commit. It returns false if no sample is recent enough or the session has
// seen a newer term; the read must then go to the primary.
func (f *Floors) Lookup(notBefore time.Duration, session logpos.Position) (logpos.Position, bool) {
	if session.Term > f.term {
		return logpos.Position{}, false
	}
	for _, s := range f.samples {
		if s.sent < notBefore {
			continue
		}
		return f.raiseToSession(s.position, session), true
	}
	return logpos.Position{}, false
}

// raiseToSession returns the later of p and the session's position. A session
// position of an older term is ignored: the entries of that term that survived
// are below every sample of this one.
func (f *Floors) raiseToSession(p, session logpos.Position) logpos.Position {
	if session.Term == f.term {
		return maxPosition(p, session)
	}
	return p
}

// Newest returns the position of the newest sample and the time at which its
// request was sent.
func (f *Floors) Newest() (logpos.Position, time.Duration, bool) {
	if len(f.samples) == 0 {
		return logpos.Position{}, 0, false
	}
	s := f.samples[len(f.samples)-1]
	return s.position, s.sent, true
}

// Lag estimates how much later the primary's log reached position to than position
// from; zero if from is at or past to. It returns false without samples, and if
// either position is of an older term.
func (f *Floors) Lag(from, to logpos.Position) (time.Duration, bool) {
	if !from.Less(to) {
		return 0, true
	}
	if len(f.samples) == 0 || from.Term != f.term || to.Term != f.term {
		return 0, false
	}
	return f.firstReached(to) - f.lastNotPast(from), true
}

// firstReached returns when the log was first known to reach p, or the time of
// the newest sample if none does.
func (f *Floors) firstReached(p logpos.Position) time.Duration {
	for _, s := range f.samples {
		if !s.position.Less(p) {
			return s.sent
		}
	}
	return f.samples[len(f.samples)-1].sent
}

// lastNotPast returns when the log was last known not to be past p, or the time
// of the oldest sample if all are past it.
func (f *Floors) lastNotPast(p logpos.Position) time.Duration {
	at := f.samples[0].sent
	for _, s := range f.samples {
		if !p.Less(s.position) {
			at = s.sent
		}
	}
	return at
}
