package quota_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/quota"
)

// TestFleetKeepsTheLimit simulates a team that requests many times its limit while
// hosts are killed, paused, isolated and partitioned, and datagrams are delayed, lost
// and duplicated. No window may exceed the limit and its tolerance.
func TestFleetKeepsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limitOf(rapid.Float64Range(0, 60).Draw(t, "rate"), rapid.Float64Range(0, 60).Draw(t, "burst"))
		s := newSimFleet(noneBroken, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 9).Draw(t, "hosts"), l, rapid.Float64Range(0.05, 1).Draw(t, "arrivals per tick"))
		s.run20s(drawFaults(t))
		if most := maxInWindow(s.admittedAt); float64(most) > maxOperations(l, tolerance) {
			t.Fatalf("%d operations in a window, %.0f allowed", most, maxOperations(l, tolerance))
		}
	})
}

// TestBreakingAnyRuleExceedsTheLimit checks that the simulation detects each broken
// rule: with the rule broken, the same faults exceed the limit.
func TestBreakingAnyRuleExceedsTheLimit(t *testing.T) {
	small := limitOf(40, 40)
	for _, p := range []struct {
		brokenRule brokenRule
		limit      quota.Limit
		faults     []fault
	}{
		{allowanceRefillsWithTime, small, onNonCounters(fault{at: 5 * time.Second, kind: "isolate"})},
		{lateResponsesUsed, small, nil},
		{unconfirmedAfterStart, limitOf(200, 200), tenTimes(onNonCounters(fault{at: 5 * time.Second, kind: "kill"}), restartDelay+50*time.Millisecond)},
		{countersPerPartition, small, []fault{{at: 6 * time.Second, kind: "partition", host: 0}}},
		{countersGrantFullLimit, small, nil},
	} {
		t.Run(string(p.brokenRule), func(t *testing.T) {
			exceeded := false
			for seed := range uint64(20) {
				healthy, faulty := newSimFleet(noneBroken, seed, ruleFleetSize, p.limit, 4), newSimFleet(p.brokenRule, seed, ruleFleetSize, p.limit, 4)
				// Lost grants are not granted again, and would hide the broken rule.
				healthy.reliable, faulty.reliable = p.brokenRule != lateResponsesUsed, p.brokenRule != lateResponsesUsed
				healthy.duplicateRate, faulty.duplicateRate = 0.5, 0.5
				healthy.run20s(p.faults)
				faulty.run20s(p.faults)
				require.LessOrEqual(t, float64(maxInWindow(healthy.admittedAt)), maxOperations(p.limit, tolerance))
				exceeded = exceeded || float64(maxInWindow(faulty.admittedAt)) > maxOperations(p.limit, tolerance)
			}
			require.True(t, exceeded, "the limit holds although %s", p.brokenRule)
		})
	}
}

// ruleFleetSize is the fleet size of the tests with broken rules.
const ruleFleetSize = 8

// onNonCounters applies a fault to all hosts but the counters.
func onNonCounters(f fault) []fault {
	s := newSimFleet(noneBroken, 0, ruleFleetSize, quota.Limit{}, 0)
	counters := s.place(s.hosts[0]).Counters
	var out []fault
	for i, h := range s.hosts {
		if !slices.Contains(counters, h.name) {
			f.host = i
			out = append(out, f)
		}
	}
	return out
}

// tenTimes repeats faults ten times.
func tenTimes(faults []fault, pause time.Duration) []fault {
	var out []fault
	for i := range 10 {
		for _, f := range faults {
			f.at += time.Duration(i) * pause
			out = append(out, f)
		}
	}
	return out
}
