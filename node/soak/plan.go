package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// shortestGap and longestGap bound the time between the beginnings of two
	// faults; with what they last, one to four overlap.
	shortestGap = 200 * time.Millisecond
	longestGap  = 1800 * time.Millisecond
	// shortest and longest bound how long a fault lasts.
	shortest = 200 * time.Millisecond
	longest  = 4 * time.Second
	// seriesShare is the share of faults that are followed by the same again.
	seriesShare = 0.25
	// plannedShare is the share of plans that hold planned work only, which must
	// cut nobody off.
	plannedShare = 0.2
	// ownStream tells the plan's random numbers from other users of a seed.
	ownStream = 0x50a6
)

// NewPlan draws the faults of a run: in series, and overlapping.
func NewPlan(seed uint64, length time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, ownStream))
	kinds := allKinds(rng.Float64() < plannedShare)
	var plan []Event
	var e Event
	for at := between(rng, shortestGap, longestGap); at < length; at += between(rng, shortestGap, longestGap) {
		if len(plan) == 0 || rng.Float64() >= seriesShare {
			e.Kind = kinds[rng.IntN(len(kinds))]
		}
		e.At, e.Target, e.For = at, rng.IntN(1<<16), between(rng, shortest, longest)
		plan = append(plan, e)
	}
	return plan
}

// allKinds returns the kinds of faults, or only those that are planned work.
func allKinds(planned bool) []Kind {
	var out []Kind
	for k := range kindCount {
		if !planned || k.planned() {
			out = append(out, k)
		}
	}
	return out
}

func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}

// calmAround is how long before a planned stop nothing unplanned may have
// happened for it to have to cut nobody: the hosts need it to recover.
const calmAround = 4 * time.Second

// aloneFor reports whether no unplanned fault is near an event, so that it must
// cut nobody off.
func aloneFor(plan []Event, e Event, grace time.Duration) bool {
	from, to := e.At-calmAround, e.At+grace+time.Second
	return e.Kind.planned() && !slices.ContainsFunc(plan, func(other Event) bool {
		return !other.Kind.planned() && other.At < to && other.At+other.For+downTime > from
	})
}
