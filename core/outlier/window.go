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
	// failedTeam is the team with the most failures, teamFailures their number.
	failedTeam   string
	teamFailures int
	// othersRan and othersFailed count the latest statements of other teams.
	othersRan, othersFailed int
}

func (w *Window) tally(after time.Duration) tally { return w.tallyLatest(after, maxSamples) }

// tallyLatest counts at most limit samples, the latest ones.
func (w *Window) tallyLatest(after time.Duration, limit int) tally {
	var t tally
	byTeam := map[string]int{}
	w.each(after, func(s Sample) {
		if t.statements == limit {
			return
		}
		t.statements++
		if !s.Failed {
			return
		}
		t.failures++
		byTeam[s.Team]++
		if byTeam[s.Team] > t.teamFailures {
			t.failedTeam, t.teamFailures = s.Team, byTeam[s.Team]
		}
	})
	w.each(after, func(s Sample) {
		if s.Team == t.failedTeam || t.othersRan == failureStatements {
			return
		}
		t.othersRan++
		if s.Failed {
			t.othersFailed++
		}
	})
	return t
}

// share returns the share of failures.
func (t tally) share() float64 { return float64(t.failures) / float64(max(t.statements, 1)) }

// ofOneTeam reports whether more than three quarters of the failures are one team's while
// the member serves others, apart from lone failures. Then that team's statements are at
// fault and not the member.
func (t tally) ofOneTeam() bool {
	if t.failedTeam == "" || 4*t.teamFailures <= 3*t.failures || t.othersFailed == t.othersRan {
		return false
	}
	return t.othersFailed < 2 || float64(t.othersFailed) < smallFailureShare*float64(t.othersRan)
}

// succeeded returns the successful samples. Failures are often faster than successes.
func succeeded(samples []Sample) []Sample {
	return slices.DeleteFunc(slices.Clone(samples), func(s Sample) bool { return s.Failed })
}

// before returns the samples before a time, of samples with the latest first.
func before(samples []Sample, at time.Duration) []Sample {
	i := slices.IndexFunc(samples, func(s Sample) bool { return s.At < at })
	if i < 0 {
		return nil
	}
	return samples[i:]
}

// median returns the median time of at least one sample.
func median(samples []Sample) time.Duration {
	var took []time.Duration
	for _, s := range samples {
		took = append(took, s.Took)
	}
	slices.Sort(took)
	return (took[(len(took)-1)/2] + took[len(took)/2]) / 2
}

// mean returns the mean time of at least one sample.
func mean(samples []Sample) time.Duration {
	var sum time.Duration
	for _, s := range samples {
		sum += s.Took
	}
	return sum / time.Duration(len(samples))
}
