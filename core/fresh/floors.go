// Package fresh keeps, for one service, the log positions that bound how stale
// a read may be.
//
// A position that the primary reported in answer to something sent at time t
// covers every commit that was acknowledged before t. Only an exchange that
// proves the lead counts: a replica that believes itself primary would report
// a position that lacks its successor's commits.
package fresh

import (
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

const (
	// spacing is the least time between samples that are kept. Closer ones add
	// work and hardly move a bound of a second or more.
	spacing = 20 * time.Millisecond
	// keep bounds the age of samples. It exceeds every staleness bound that the
	// deployments use (2.5 s); a longer bound just uses the oldest sample.
	keep = 10 * time.Second
)

// sample says that a position covers every commit acknowledged before sent.
type sample struct {
	sent     time.Duration
	position logpos.Position
}

// Floors holds the samples of the newest term. Times are on a clock that also
// counts suspended time. It is not safe for concurrent use.
type Floors struct {
	term    logpos.Term
	samples []sample
}

// Term returns the newest term that a primary has proved.
func (f *Floors) Term() logpos.Term { return f.term }

// Observe takes a position of the term that its primary leads.
func (f *Floors) Observe(p logpos.Position, sent time.Duration) { f.ObserveIn(p.Term, p, sent) }

// ObserveIn takes a position from an exchange, sent at the given time, that
// proved the lead of the member that answered in a term. A newer term drops the
// older samples: a promotion may have rolled back what they cover, and a reader
// that asked for it would wait for ever. Until the new primary has written, its
// position is still one of an older term.
func (f *Floors) ObserveIn(term logpos.Term, p logpos.Position, sent time.Duration) {
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

// later returns the position that is further in the log.
func later(a, b logpos.Position) logpos.Position {
	if a.Less(b) {
		return b
	}
	return a
}

// insert keeps samples in order of time with positions that never fall. Answers
// may arrive out of order.
func (f *Floors) insert(s sample) {
	at, _ := slices.BinarySearchFunc(f.samples, s, func(a, b sample) int { return int(a.sent - b.sent) })
	if at > 0 && s.sent-f.samples[at-1].sent < spacing && at < len(f.samples) {
		return
	}
	if at > 0 {
		// A later send covers what an earlier one does.
		s.position = later(s.position, f.samples[at-1].position)
	}
	if at > 1 && at == len(f.samples) && s.sent-f.samples[at-2].sent < spacing {
		f.samples[at-1] = s
		return
	}
	f.samples = slices.Insert(f.samples, at, s)
	for i := at + 1; i < len(f.samples); i++ {
		f.samples[i].position = later(f.samples[i].position, s.position)
	}
	f.expire(f.samples[len(f.samples)-1].sent - keep)
}

func (f *Floors) expire(before time.Duration) {
	n := 0
	for n < len(f.samples)-1 && f.samples[n].sent < before {
		n++
	}
	f.samples = slices.Delete(f.samples, 0, n)
}

// Lookup returns the lowest position that a read may be served at: one that
// covers every commit acknowledged before notBefore, and the session's own
// last commit. It returns false when nothing known does, and the read must go
// to the primary.
func (f *Floors) Lookup(notBefore time.Duration, session logpos.Position) (logpos.Position, bool) {
	if session.Term > f.term {
		return logpos.Position{}, false
	}
	for _, s := range f.samples {
		if s.sent < notBefore {
			continue
		}
		return f.atLeast(s.position, session), true
	}
	return logpos.Position{}, false
}

// atLeast raises a position to the session's own. A session's position of an
// older term needs nothing more: what survived of it is below every sample of
// this term.
func (f *Floors) atLeast(p, session logpos.Position) logpos.Position {
	if session.Term == f.term {
		return later(p, session)
	}
	return p
}

// Newest returns the newest sample: a position and when its request was sent.
func (f *Floors) Newest() (logpos.Position, time.Duration, bool) {
	if len(f.samples) == 0 {
		return logpos.Position{}, 0, false
	}
	s := f.samples[len(f.samples)-1]
	return s.position, s.sent, true
}

// Distance returns how much later the primary's log reached a floor than it
// reached what a replica holds, as far as the samples tell; zero when the
// replica holds the floor. It returns false for a log of an older term: when it
// takes up the newer one is not known.
func (f *Floors) Distance(held, floor logpos.Position) (time.Duration, bool) {
	if !held.Less(floor) {
		return 0, true
	}
	if len(f.samples) == 0 || held.Term != f.term || floor.Term != f.term {
		return 0, false
	}
	return f.reachedBy(floor) - f.heldAt(held), true
}

// reachedBy returns when the log was first known to reach a position; one that
// no sample reaches counts as reached at the newest.
func (f *Floors) reachedBy(p logpos.Position) time.Duration {
	for _, s := range f.samples {
		if !s.position.Less(p) {
			return s.sent
		}
	}
	return f.samples[len(f.samples)-1].sent
}

// heldAt returns when the log was last known to go no further than a position;
// one below all samples counts as held at the oldest.
func (f *Floors) heldAt(p logpos.Position) time.Duration {
	at := f.samples[0].sent
	for _, s := range f.samples {
		if !p.Less(s.position) {
			at = s.sent
		}
	}
	return at
}
