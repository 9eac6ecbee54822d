package quota_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/fixedseed"
	"github.com/dotterelswitch/dotterelswitch/core/quota"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

const window = 5 * time.Second

// tolerance is a tenth of the limit plus twenty operations.
var tolerance = quota.Tolerance{Window: window, Share: 0.1, Operations: 20}

func limitOf(rate, burst float64) quota.Limit {
	return quota.Limit{Bounded: true, Rate: rate, Burst: burst}
}

// maxOperations returns the most operations that may run in any window.
func maxOperations(l quota.Limit, t quota.Tolerance) float64 {
	return (l.Rate*t.Window.Seconds()+l.Burst)*(1+t.Share) + t.Operations
}

// TestGrantsInAnyWindowStayWithinLimit checks a counter with random requests: its
// grants in any window stay within the limit and its share of the tolerance.
func TestGrantsInAnyWindowStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limitOf(rapid.Float64Range(0, 200).Draw(t, "rate"), rapid.Float64Range(0, 200).Draw(t, "burst"))
		c := quota.NewCounter(tolerance, -time.Hour)
		var granted []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 120).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 600).Draw(t, "pause")) * time.Millisecond
			for range c.Acquire("a", l, quota.EvenAllotment(1), rapid.IntRange(0, 300).Draw(t, "wanted"), now).Granted {
				granted = append(granted, now)
			}
		}
		if most := maxInWindow(granted); float64(most) > maxOperations(l, tolerance) {
			t.Fatalf("%d operations in a window, %.0f allowed", most, maxOperations(l, tolerance))
		}
	})
}

// maxInWindow returns the maximum number of times in one window. The times are sorted.
func maxInWindow(times []time.Duration) int {
	most, from := 0, 0
	for i, at := range times {
		for at-times[from] >= window {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// TestTeamWithinItsLimitIsNeverRefused sends requests of two and three operations a
// second against a limit of 1.6 times that rate.
func TestTeamWithinItsLimitIsNeverRefused(t *testing.T) {
	l := limitOf(4, 4)
	c := quota.NewCounter(tolerance, -time.Hour)
	now := time.Duration(0)
	for i := range 200 {
		now += time.Second
		wanted := 2 + i%2
		require.Equal(t, wanted, c.Acquire("a", l, quota.EvenAllotment(1), wanted, now).Granted, "at %v", now)
	}
}

// TestTeamOverItsLimitIsServedAtAnEvenRate checks that a team that requests eight times
// its limit gets its rate in every second, and a retry delay when refused.
func TestTeamOverItsLimitIsServedAtAnEvenRate(t *testing.T) {
	l := limitOf(50, 50)
	c := quota.NewCounter(tolerance, -time.Hour)
	perSecond := map[time.Duration]int{}
	for now := time.Duration(0); now < 20*time.Second; now += 2500 * time.Microsecond {
		p := c.Acquire("a", l, quota.EvenAllotment(1), 1, now)
		if p.Granted == 0 {
			require.Positive(t, p.RetryAfter)
			require.LessOrEqual(t, p.RetryAfter, window)
		}
		perSecond[now.Truncate(time.Second)] += p.Granted
	}
	for second, n := range perSecond {
		require.GreaterOrEqual(t, float64(n), l.Rate, "second %v", second)
	}
}

// TestLoweredLimitAppliesImmediately checks that unused burst of the old limit is
// discarded and that the new limit holds in every window.
func TestLoweredLimitAppliesImmediately(t *testing.T) {
	c := quota.NewCounter(tolerance, -time.Hour)
	now := time.Duration(0)
	for range 50 {
		now += 100 * time.Millisecond
		c.Acquire("a", limitOf(100, 100), quota.EvenAllotment(1), 5, now)
	}
	lowered := limitOf(5, 5)
	var granted []time.Duration
	for range 1000 {
		now += 10 * time.Millisecond
		for range c.Acquire("a", lowered, quota.EvenAllotment(1), 10, now).Granted {
			granted = append(granted, now)
		}
	}
	require.LessOrEqual(t, float64(maxInWindow(granted)), maxOperations(lowered, tolerance))
}

// TestRestartedCounterStaysWithinLimit replaces the counter while a team requests far
// more than its limit: the new counter must not grant a second burst.
func TestRestartedCounterStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limitOf(rapid.Float64Range(1, 200).Draw(t, "rate"), rapid.Float64Range(1, 200).Draw(t, "burst"))
		killedAt := time.Duration(rapid.IntRange(0, 15000).Draw(t, "killed at")) * time.Millisecond
		c := quota.NewCounter(tolerance, -time.Hour)
		var granted []time.Duration
		alive := true
		for now := time.Duration(0); now < 20*time.Second; now += 5 * time.Millisecond {
			if alive && now >= killedAt {
				alive, c = false, quota.NewCounter(tolerance, now)
			}
			for range c.Acquire("a", l, quota.EvenAllotment(1), 100, now).Granted {
				granted = append(granted, now)
			}
		}
		if most := maxInWindow(granted); float64(most) > maxOperations(l, tolerance) {
			t.Fatalf("%d operations in a window, %.0f allowed", most, maxOperations(l, tolerance))
		}
	})
}

// TestTeamWithoutLimitIsUnbounded checks that no limit differs from a limit of zero.
func TestTeamWithoutLimitIsUnbounded(t *testing.T) {
	c := quota.NewCounter(tolerance, 0)
	require.Equal(t, quota.Grant{Granted: 1000}, c.Acquire("a", quota.Limit{}, quota.EvenAllotment(1), 1000, 0))
	require.Zero(t, quota.NewCounter(quota.Tolerance{Window: window}, 0).Acquire("a", limitOf(0, 0), quota.EvenAllotment(1), 1, time.Hour).Granted)
}

// TestUnconfirmedAllowancesStayWithinTolerance checks that the allowances of all hosts
// add up to no more than their share of the tolerance, and that all hosts choose the
// same counters.
func TestUnconfirmedAllowancesStayWithinTolerance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limitOf(rapid.Float64Range(0, 300).Draw(t, "rate"), rapid.Float64Range(0, 300).Draw(t, "burst"))
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`h[0-9]{1,3}`), 1, 60, rapid.ID[string]).Draw(t, "hosts")
		regions := rapid.IntRange(1, 5).Draw(t, "regions")
		var hosts []quota.Host
		for i, name := range names {
			hosts = append(hosts, quota.Host{Name: name, Region: fmt.Sprint("region-", i%regions)})
		}
		sum := 0
		var agreed []string
		for _, h := range hosts {
			p := quota.Place("team", l, tolerance, hosts, h)
			sum += p.MaxUnconfirmed
			sorted := slices.Sorted(slices.Values(p.Counters))
			if agreed == nil {
				agreed = sorted
			}
			if !slices.Equal(agreed, sorted) {
				t.Fatalf("%s chooses the counters %v, others %v", h.Name, sorted, agreed)
			}
			if len(slices.Compact(sorted)) != len(p.Counters) || len(p.Counters) > 3 || (len(hosts) > 1 && len(p.Counters) < 2) {
				t.Fatalf("%d counters: %v", len(p.Counters), p.Counters)
			}
		}
		if tolerated := maxOperations(l, tolerance) - l.Rate*window.Seconds() - l.Burst; float64(sum) > tolerated/10 {
			t.Fatalf("%d operations may run unconfirmed, %.1f are tolerated", sum, tolerated)
		}
	})
}

// TestOwnRegionsCounterIsRankedFirst checks the order of counters: requests to other regions
// are slower and their traffic is more expensive.
func TestOwnRegionsCounterIsRankedFirst(t *testing.T) {
	var hosts []quota.Host
	for i := range 30 {
		hosts = append(hosts, quota.Host{Name: fmt.Sprint("h", i), Region: fmt.Sprint("region-", i%3)})
	}
	region := map[string]string{}
	for _, h := range hosts {
		region[h.Name] = h.Region
	}
	for _, h := range hosts {
		p := quota.Place("team", limitOf(1, 1), tolerance, hosts, h)
		require.Len(t, p.Counters, 3)
		require.Equal(t, h.Region, region[p.Counters[0]])
		if slices.Contains(p.Counters, h.Name) {
			require.Equal(t, h.Name, p.Counters[0])
		}
	}
}

// TestStartedCounterAccruesTokensFromItsStart covers a restart of the whole fleet:
// tokens accrued since the start are available to the first callers.
func TestStartedCounterAccruesTokensFromItsStart(t *testing.T) {
	l := limitOf(10, 10)
	c := quota.NewCounter(tolerance, 0)
	require.GreaterOrEqual(t, c.Acquire("a", l, quota.EvenAllotment(3), 3, time.Second).Granted, 3)
	c.TakeOver(2 * time.Second)
	require.Zero(t, c.Acquire("b", l, quota.EvenAllotment(3), 1, 2*time.Second).Granted, "the previous counter may have granted it")
}

// TestSmallLimitIsServed checks that a team with one operation a second and no
// tolerance gets most of its limit and never more.
func TestSmallLimitIsServed(t *testing.T) {
	l := limitOf(1, 0)
	exact := quota.Tolerance{Window: window}
	hosts := []quota.Host{{Name: "a", Region: "x"}, {Name: "b", Region: "y"}, {Name: "c", Region: "z"}}
	require.Len(t, quota.Place("team", l, exact, hosts, hosts[0]).Counters, 1, "the shares of more counters would be less than one operation")
	c := quota.NewCounter(exact, 0)
	var granted []time.Duration
	for now := time.Duration(0); now < time.Minute; now += 50 * time.Millisecond {
		for range c.Acquire("a", l, quota.EvenAllotment(1), 1, now).Granted {
			granted = append(granted, now)
		}
	}
	require.LessOrEqual(t, maxInWindow(granted), 5)
	require.GreaterOrEqual(t, len(granted), 30, "of 60")
}
