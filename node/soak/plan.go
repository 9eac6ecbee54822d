package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minFaultGap and maxFaultGap bound the time between the starts of two faults.
	// They are short enough for faults to overlap.
	minFaultGap      = 200 * time.Millisecond
	maxFaultGap      = 1800 * time.Millisecond
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// repeatProbability is the probability that a fault is of the same kind as the
	// previous one.
	repeatProbability = 0.25
	// plannedOnlyProbability is the probability that a plan has only planned faults,
	// which must not interrupt any request.
	plannedOnlyProbability = 0.2
	// planRNGStream separates the plan's random numbers from those of the callers.
	planRNGStream = 0x50a6
	// answerRNGStream separates the faults that disturb answers from the others, which
	// have to remain as they are for the seeds that have been recorded.
	answerRNGStream = 0xa4535
	// answerFaultsProbability is the probability that a plan of planned faults also has
	// faults that disturb answers.
	answerFaultsProbability = 0.3
	// maxAnswerFaultGap bounds the time between the starts of two faults that disturb
	// answers.
	maxAnswerFaultGap = 4 * time.Second
)

// NewPlan generates the faults of a run, some of them repeated or overlapping.
func NewPlan(seed uint64, length time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, planRNGStream))
	plannedOnly := rng.Float64() < plannedOnlyProbability
	plan := drawEvents(rng, eligibleKinds(plannedOnly), maxFaultGap, length)
	answerRNG := rand.New(rand.NewPCG(seed, answerRNGStream))
	if !plannedOnly || answerRNG.Float64() < answerFaultsProbability {
		plan = append(plan, drawEvents(answerRNG, []Kind{RepeatAnswers, RepeatRefusals, CutAnswers}, maxAnswerFaultGap, length)...)
	}
	slices.SortStableFunc(plan, func(a, b Event) int { return cmp.Compare(a.Start, b.Start) })
	return plan
}

// drawEvents draws faults of the given kinds.
func drawEvents(rng *rand.Rand, kinds []Kind, maxGap, length time.Duration) []Event {
	var plan []Event
	var e Event
	for at := randomBetween(rng, minFaultGap, maxGap); at < length; at += randomBetween(rng, minFaultGap, maxGap) {
		if len(plan) == 0 || rng.Float64() >= repeatProbability {
			e.Kind = kinds[rng.IntN(len(kinds))]
		}
		e.Start, e.Target, e.Duration = at, rng.IntN(1<<16), randomBetween(rng, minFaultDuration, maxFaultDuration)
		plan = append(plan, e)
	}
	return plan
}

// eligibleKinds returns all kinds of faults but those that disturb answers, or only the
// planned ones.
func eligibleKinds(plannedOnly bool) []Kind {
	var out []Kind
	for k := range kindCount {
		if !k.disturbsAnswers() && (!plannedOnly || k.planned()) {
			out = append(out, k)
		}
	}
	return out
}

func randomBetween(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}

// keepsPrimaries reports whether a plan disturbs answers and has no other unplanned faults, so
// that no primary has to be replaced.
func keepsPrimaries(plan []Event) bool {
	return slices.ContainsFunc(plan, func(e Event) bool { return e.Kind.disturbsAnswers() }) &&
		!slices.ContainsFunc(plan, func(e Event) bool { return !e.Kind.disturbsAnswers() && !e.Kind.planned() })
}

// recoveryMargin is the time that hosts need to recover from an unplanned fault.
// A planned stop within this time may interrupt requests.
const recoveryMargin = 4 * time.Second

// noUnplannedFaultNear reports whether an event is planned and no unplanned fault
// is close to it, so that it must not interrupt any request.
func noUnplannedFaultNear(plan []Event, e Event, grace time.Duration) bool {
	from, to := e.Start-recoveryMargin, e.Start+grace+time.Second
	return e.Kind.planned() && !slices.ContainsFunc(plan, func(other Event) bool {
		return !other.Kind.planned() && other.Start < to && other.Start+other.Duration+restartDelay > from
	})
}
