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

func newTable() *route.Table {
	t := route.NewTable([]route.Member{
		{Name: "near", Distance: route.SameZone},
		{Name: "middle", Distance: route.SameRegion},
		{Name: "far", Distance: route.OtherRegion},
	})
	t.UpdatePrimary("far", 1)
	return t
}

func firstCandidate(t *route.Table, now time.Duration) string {
	return t.ReadCandidates(now, false)[0].Upstream
}

func TestReadsPreferNearestReplica(t *testing.T) {
	tb := newTable()
	require.Equal(t, "near", firstCandidate(tb, 0))
	tb.UpdatePrimary("near", 2)
	require.Equal(t, "middle", firstCandidate(tb, 0), "reads avoid the primary")
	tb.UpdatePrimary("far", 1)
	p, _ := tb.Primary()
	require.Equal(t, "near", p, "an older term's hint must not win")
}

func TestSlowMemberIsAvoidedAndRetried(t *testing.T) {
	tb := newTable()
	for range 20 {
		tb.RecordLatency("near", 300*time.Millisecond, time.Second)
	}
	require.Equal(t, "middle", firstCandidate(tb, time.Second))
	require.Equal(t, "near", firstCandidate(tb, 20*time.Second))
}

func TestRefusalBackoffIsBounded(t *testing.T) {
	tb := newTable()
	tb.RecordRefusal("near", 0)
	require.Equal(t, "middle", firstCandidate(tb, 0))
	require.Equal(t, "near", firstCandidate(tb, time.Second))
	for range 30 {
		tb.RecordRefusal("near", time.Second)
	}
	require.Equal(t, "near", firstCandidate(tb, 4*time.Second), "the avoidance time must be bounded")
}

func TestDrainingMembersGetNoReads(t *testing.T) {
	tb := newTable()
	tb.SetMembers([]route.Member{{Name: "near", Draining: true}, {Name: "far", Distance: route.OtherRegion}})
	require.Len(t, tb.ReadCandidates(0, false), 1)
	require.Equal(t, "far", firstCandidate(tb, 0))
}

// TestWriteAttemptsReachEveryMember checks that consecutive attempts of a write cover
// all members, whichever have failed before, so that the primary is found.
func TestWriteAttemptsReachEveryMember(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tb := newTable()
		for range rapid.IntRange(0, 10).Draw(t, "failures") {
			tb.RecordRefusal(rapid.SampledFrom([]string{"near", "middle", "far"}).Draw(t, "member"), 0)
		}
		tb.RecordRefusal("far", 0)
		tried := map[string]bool{}
		for attempt := range 4 {
			tried[tb.WriteTarget(attempt, 0)] = true
		}
		require.Len(t, tried, 3)
	})
}

// TestWritesFailAfterMaxFailoverWait checks that writes wait during a failover, but
// fail without further attempts if the primary has been missing for longer.
func TestWritesFailAfterMaxFailoverWait(t *testing.T) {
	tb := newTable()
	require.False(t, tb.RecordWriteRefused(10, 0))
	require.False(t, tb.RecordWriteRefused(10, 4*time.Second))
	require.False(t, tb.RecordWriteRefused(0, 6*time.Second), "every member must be tried first")
	require.True(t, tb.RecordWriteRefused(2, 6*time.Second))
	tb.RecordWriteServed()
	require.False(t, tb.RecordWriteRefused(2, 7*time.Second), "a served write must reset the wait")
}
