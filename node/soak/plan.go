package soak

import (
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
)

// NewPlan generates the faults of a run, some of them repeated or overlapping.
func NewPlan(seed uint64, length time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, planRNGStream))
	kinds := eligibleKinds(rng.Float64() < plannedOnlyProbability)
	var plan []Event
	var e Event
	for at := randomBetween(rng, minFaultGap, maxFaultGap); at < length; at += randomBetween(rng, minFaultGap, maxFaultGap) {
		if len(plan) == 0 || rng.Float64() >= repeatProbability {
			e.Kind = kinds[rng.IntN(len(kinds))]
		}
		e.Start, e.Target, e.Duration = at, rng.IntN(1<<16), randomBetween(rng, minFaultDuration, maxFaultDuration)
		plan = append(plan, e)
	}
	return plan
}

// eligibleKinds returns all kinds of faults, or only the planned ones.
func eligibleKinds(plannedOnly bool) []Kind {
	var out []Kind
	for k := range kindCount {
		if !plannedOnly || k.planned() {
			out = append(out, k)
		}
	}
	return out
}

func randomBetween(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
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
