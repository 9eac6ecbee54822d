package soak

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPlanIsDeterministic(t *testing.T) {
	const length = 30 * time.Second
	require.Equal(t, NewPlan(7, length), NewPlan(7, length))
	require.NotEqual(t, NewPlan(7, length), NewPlan(8, length))
}

func TestPlansCoverEveryKindOverlapsAndRepeats(t *testing.T) {
	const length = 30 * time.Second
	seen := map[Kind]bool{}
	overlaps, repeats := 0, 0
	plannedOnly := 0
	for seed := range uint64(30) {
		plan := NewPlan(seed, length)
		if !slices.ContainsFunc(plan, func(e Event) bool { return !e.Kind.planned() }) {
			plannedOnly++
		}
		for i, e := range plan {
			seen[e.Kind] = true
			require.Less(t, e.Start, length)
			require.NotEmpty(t, e.Kind.String())
			if i > 0 && plan[i-1].Start+plan[i-1].Duration > e.Start {
				overlaps++
			}
			if i > 0 && plan[i-1].Kind == e.Kind {
				repeats++
			}
		}
	}
	require.Len(t, seen, int(kindCount))
	require.Len(t, kindNames, int(kindCount))
	require.Greater(t, plannedOnly, 2)
	require.Greater(t, overlaps, 100)
	require.Greater(t, repeats, 100)
}

func TestPlannedStopNearUnplannedFaultIsNotChecked(t *testing.T) {
	stop := Event{Start: 10 * time.Second, Kind: StopHost}
	crash := Event{Start: 3 * time.Second, Kind: CrashPrimary, Duration: time.Second}
	require.True(t, noUnplannedFaultNear([]Event{stop, crash}, stop, stopGracePeriod))
	crash.Duration = 3 * time.Second
	require.False(t, noUnplannedFaultNear([]Event{stop, crash}, stop, stopGracePeriod), "the crash ends too shortly before the stop")
	crash.Start = 16 * time.Second
	require.False(t, noUnplannedFaultNear([]Event{stop, crash}, stop, stopGracePeriod), "the crash begins within the grace period")
	reload := Event{Start: 10 * time.Second, Kind: ReloadHost}
	require.True(t, noUnplannedFaultNear([]Event{stop, reload}, stop, stopGracePeriod))
	require.True(t, noUnplannedFaultNear([]Event{stop, {Start: 11 * time.Second, Kind: StopHost}}, stop, stopGracePeriod), "planned stops may overlap")
}

// The faults of a recorded seed must stay the same when kinds of faults that disturb answers
// are added.
func TestAnswerFaultsLeaveOtherFaultsOfSeed(t *testing.T) {
	plan := NewPlan(3, 6*time.Second)
	others := slices.DeleteFunc(slices.Clone(plan), func(e Event) bool { return e.Kind.disturbsAnswers() })
	require.Less(t, len(others), len(plan))
	require.Equal(t, []Event{
		{Start: 1704577964, Kind: CrashMember, Target: 20897, Duration: 2911446226},
		{Start: 2729522459, Kind: DrainPrimary, Target: 63087, Duration: 3840870516},
		{Start: 3930054932, Kind: CrashPrimary, Target: 52061, Duration: 630690612},
		{Start: 4889914394, Kind: KillMany, Target: 38149, Duration: 2805863707},
		{Start: 5264815676, Kind: KillMany, Target: 11143, Duration: 1803127231},
	}, others)
}

func TestOnlyPlansWithoutFailuresKeepPrimaries(t *testing.T) {
	repeat, stop, crash := Event{Kind: RepeatAnswers}, Event{Kind: StopHost}, Event{Kind: CrashMember}
	require.True(t, keepsPrimaries([]Event{repeat, stop}))
	require.False(t, keepsPrimaries([]Event{repeat, stop, crash}))
	require.False(t, keepsPrimaries([]Event{stop}))
}
