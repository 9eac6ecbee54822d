package soak

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPlanIsDecidedByItsSeed(t *testing.T) {
	const length = 30 * time.Second
	require.Equal(t, NewPlan(7, length), NewPlan(7, length))
	require.NotEqual(t, NewPlan(7, length), NewPlan(8, length))
}

// TestPlansHoldEveryKindAloneAndInSeries over some seeds, within their length.
func TestPlansHoldEveryKindAloneAndInSeries(t *testing.T) {
	const length = 30 * time.Second
	seen := map[Kind]bool{}
	overlaps, repeats := 0, 0
	planned := 0
	for seed := range uint64(30) {
		plan := NewPlan(seed, length)
		if !slices.ContainsFunc(plan, func(e Event) bool { return !e.Kind.planned() }) {
			planned++
		}
		for i, e := range plan {
			seen[e.Kind] = true
			require.Less(t, e.At, length)
			require.NotEmpty(t, e.Kind.String())
			if i > 0 && plan[i-1].At+plan[i-1].For > e.At {
				overlaps++
			}
			if i > 0 && plan[i-1].Kind == e.Kind {
				repeats++
			}
		}
	}
	require.Len(t, seen, int(kindCount))
	require.Len(t, kindNames, int(kindCount))
	require.Greater(t, planned, 2)
	require.Greater(t, overlaps, 100)
	require.Greater(t, repeats, 100)
}

func TestOnlyALonePlannedStopMustCutNobody(t *testing.T) {
	stop := Event{At: 10 * time.Second, Kind: StopHost}
	crash := Event{At: 3 * time.Second, Kind: CrashPrimary, For: time.Second}
	require.True(t, aloneFor([]Event{stop, crash}, stop, grace))
	crash.For = 3 * time.Second
	require.False(t, aloneFor([]Event{stop, crash}, stop, grace), "it ends too close")
	crash.At = 16 * time.Second
	require.False(t, aloneFor([]Event{stop, crash}, stop, grace), "it begins within the grace")
	reload := Event{At: 10 * time.Second, Kind: ReloadHost}
	require.True(t, aloneFor([]Event{stop, reload}, stop, grace))
	require.True(t, aloneFor([]Event{stop, {At: 11 * time.Second, Kind: StopHost}}, stop, grace), "stops may overlap")
}
