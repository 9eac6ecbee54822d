package outlier

import (
	"slices"
	"time"
)

// Sample is the outcome of one statement that a member has answered.
type Sample struct {
	// At is when the answer came, Took how long the member took.
	At, Took time.Duration
	// Failed is set for an answer with the code statement.Failure.
	Failed bool
	// Team is the team of the caller; empty for callers without one.
	Team string
}

// maxSamples bounds a window. A gate runs fewer statements than this on a member within a
// second: four slots run 333 statements of 12 ms a second for all gates together.
const maxSamples = 256

// Window holds the latest samples of a member. It is not safe for concurrent use.
type Window struct {
	// ring holds the samples; next is the index of the oldest once it is full.
	ring []Sample
	next int
}

// Add records a sample. Samples are added in the order of their times.
func (w *Window) Add(s Sample) {
	if len(w.ring) < maxSamples {
		w.ring = append(w.ring, s)
		return
	}
	w.ring[w.next] = s
	w.next = (w.next + 1) % maxSamples
}

func (w *Window) clear() { w.ring, w.next = w.ring[:0], 0 }

// each calls f for the samples after a time, the latest first.
func (w *Window) each(after time.Duration, f func(Sample)) {
	for i := range w.ring {
		s := w.ring[(w.next+len(w.ring)-1-i)%len(w.ring)]
		if s.At <= after {
			return
		}
		f(s)
	}
}

// Since returns a copy of the samples after a time, the latest first.
func (w *Window) Since(after time.Duration) []Sample {
	var out []Sample
	w.each(after, func(s Sample) { out = append(out, s) })
	return out
}

// tally counts the statements and failures of some samples.
type tally struct {
	statements, failures int
	// failedTeam is the team of one of the failures. otherFailed is set if another team
	// has failures, otherServed if another team has a success.
	failedTeam               string
	otherFailed, otherServed bool
}

func (w *Window) tally(after time.Duration) tally {
	var t tally
	w.each(after, func(s Sample) {
		t.statements++
		if !s.Failed {
			return
		}
		if t.failures == 0 {
			t.failedTeam = s.Team
		}
		t.failures++
		t.otherFailed = t.otherFailed || s.Team != t.failedTeam
	})
	w.each(after, func(s Sample) { t.otherServed = t.otherServed || !s.Failed && s.Team != t.failedTeam })
	return t
}

// share returns the share of failures.
func (t tally) share() float64 { return float64(t.failures) / float64(max(t.statements, 1)) }

// ofOneTeam reports whether only one team's statements fail while the member serves
// others. Then the statements are at fault and not the member.
func (t tally) ofOneTeam() bool {
	return t.failedTeam != "" && !t.otherFailed && t.otherServed
}

// median returns the median time of the successful samples with from < At <= until, and
// how many there are. Failures are left out: they are often faster than successes.
func median(samples []Sample, from, until time.Duration) (time.Duration, int) {
	var took []time.Duration
	for _, s := range samples {
		if !s.Failed && s.At > from && s.At <= until {
			took = append(took, s.Took)
		}
	}
	if len(took) == 0 {
		return 0, 0
	}
	slices.Sort(took)
	return (took[(len(took)-1)/2] + took[len(took)/2]) / 2, len(took)
}
