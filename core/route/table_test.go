package route_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/fixedseed"
	"github.com/dotterelswitch/dotterelswitch/core/route"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

func table() *route.Table {
	t := route.NewTable([]route.Member{
		{Name: "near", Distance: route.SameZone},
		{Name: "middle", Distance: route.SameRegion},
		{Name: "far", Distance: route.OtherRegion},
	})
	t.Learn("far", 1)
	return t
}

func first(t *route.Table, now time.Duration) string { return t.Reads(now, false)[0].Upstream }

func TestNearestFirstAndPrimaryLast(t *testing.T) {
	tb := table()
	require.Equal(t, "near", first(tb, 0))
	tb.Learn("near", 2)
	require.Equal(t, "middle", first(tb, 0), "reads spare the primary")
	tb.Learn("far", 1)
	p, _ := tb.Primary()
	require.Equal(t, "near", p, "an older term's hint must not win")
}

func TestSlowMemberIsLeftAndTriedAgain(t *testing.T) {
	tb := table()
	for range 20 {
		tb.Served("near", 300*time.Millisecond, time.Second)
	}
	require.Equal(t, "middle", first(tb, time.Second))
	require.Equal(t, "near", first(tb, 20*time.Second))
}

func TestRefusalsBackOff(t *testing.T) {
	tb := table()
	tb.Refused("near", 0)
	require.Equal(t, "middle", first(tb, 0))
	require.Equal(t, "near", first(tb, time.Second))
	for range 30 {
		tb.Refused("near", time.Second)
	}
	require.Equal(t, "near", first(tb, 4*time.Second), "a member is avoided for a bounded time")
}

func TestLeavingMembersGetNoReads(t *testing.T) {
	tb := table()
	tb.SetMembers([]route.Member{{Name: "near", Leaving: true}, {Name: "far", Distance: route.OtherRegion}})
	require.Len(t, tb.Reads(0, false), 1)
	require.Equal(t, "far", first(tb, 0))
}

// TestEveryMemberIsTried checks that a write reaches every member in a round,
// whatever has failed before, so that the primary is found in the end.
func TestEveryMemberIsTried(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tb := table()
		for range rapid.IntRange(0, 10).Draw(t, "failures") {
			tb.Refused(rapid.SampledFrom([]string{"near", "middle", "far"}).Draw(t, "member"), 0)
		}
		tb.Refused("far", 0)
		tried := map[string]bool{}
		for attempt := range 4 {
			tried[tb.Write(attempt, 0)] = true
		}
		require.Len(t, tried, 3)
	})
}

// TestWritesAreNotHeldForEver checks that writes wait through a failover, but
// get their answer at once when there has been no primary for long.
func TestWritesAreNotHeldForEver(t *testing.T) {
	tb := table()
	require.False(t, tb.WriteRefused(10, 0))
	require.False(t, tb.WriteRefused(10, 4*time.Second))
	require.False(t, tb.WriteRefused(0, 6*time.Second), "every member is tried first")
	require.True(t, tb.WriteRefused(2, 6*time.Second))
	tb.WriteServed()
	require.False(t, tb.WriteRefused(2, 7*time.Second), "a new loss is waited for again")
}
