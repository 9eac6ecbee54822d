package balance

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// otherRegionRoundTrip is the round trip from which on a member counts as being in
	// another region.
	otherRegionRoundTrip = 10 * time.Millisecond
	// otherRegionPenalty keeps reads in the region while the waits are about equal: bytes
	// between regions are expensive.
	otherRegionPenalty = 20 * time.Millisecond
	// loadSpread is the range of the random factor on reported times. Many hosts see the
	// same report, and each is a round trip old or more. A range of 0.5 serves callers no
	// better (docs/design/load-reports.md).
	loadSpread = 0.25
)

// reportedCost returns the expected response time according to the gates' reports.
func (c Candidate) reportedCost() time.Duration {
	cost := c.RoundTrip + max(c.Load.Service+c.Load.Wait, c.OldestCall-c.RoundTrip)
	if c.RoundTrip >= otherRegionRoundTrip {
		cost += otherRegionPenalty
	}
	return cost
}

// RankByLoad returns the candidates sorted by ascending cost, where each member's reported
// times are multiplied by a random factor, so that hosts with the same reports do not all
// choose the same member. The penalties and the round trip are not: equal waits stay near.
// Without any report the order is that of Rank.
func RankByLoad(candidates []Candidate, random *rand.Rand) []Candidate {
	if !slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Load != nil }) {
		return Rank(candidates)
	}
	out := slices.Clone(candidates)
	for i := range out {
		c := &out[i]
		c.ResponseTime = max(c.ResponseTime, c.OldestCall)
		if c.Load == nil && c.RoundTrip >= otherRegionRoundTrip {
			// Members that get no reads send no reports: without the penalty they would be
			// preferred to those that do. reportedCost adds it to the others.
			c.RoundTrip += otherRegionPenalty
		}
		if c.Load != nil {
			load, factor := *c.Load, 1+loadSpread*(2*random.Float64()-1)
			load.Service, load.Wait = time.Duration(factor*float64(load.Service)), time.Duration(factor*float64(load.Wait))
			c.Load = &load
		}
	}
	return Rank(out)
}
