package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/balance"
	"github.com/dotterelswitch/dotterelswitch/core/gateload"
)

// chosen counts how often each candidate ranks first.
func chosen(c ...balance.Candidate) map[string]int {
	random := rand.New(rand.NewPCG(1, 2))
	out := map[string]int{}
	for range 1000 {
		out[balance.RankByLoad(c, random)[0].ID]++
	}
	return out
}

func loaded(id string, roundTrip, service, wait time.Duration) balance.Candidate {
	return balance.Candidate{ID: id, RoundTrip: roundTrip, HasIdleConn: true, Slots: 4, Load: &gateload.Estimate{Service: service, Wait: wait}}
}

// TestReportedWaitWeighedAgainstOtherRegion guards against reads that cross regions while
// the near replica's wait is shorter than the trip and the price of its bytes.
func TestReportedWaitWeighedAgainstOtherRegion(t *testing.T) {
	far := loaded("far", 30*ms, 12*ms, 0)
	require.Equal(t, map[string]int{"near": 1000}, chosen(loaded("near", ms, 12*ms, 20*ms), far))
	require.Equal(t, map[string]int{"far": 1000}, chosen(loaded("near", ms, 12*ms, 90*ms), far))
}

// TestOtherRegionWithoutReportCostsTheSame guards against reads that cross regions because
// the far replica, which gets no reads, has no report to add the price of its bytes to.
func TestOtherRegionWithoutReportCostsTheSame(t *testing.T) {
	far := balance.Candidate{ID: "far", RoundTrip: 30 * ms, HasIdleConn: true, Slots: 4}
	require.Equal(t, map[string]int{"near": 1000}, chosen(loaded("near", ms, 12*ms, 20*ms), far))
	require.Equal(t, map[string]int{"far": 1000}, chosen(loaded("near", ms, 12*ms, 90*ms), far))
}

// TestEqualReportsSpreadReads guards against hosts with the same reports that all choose
// the same replica.
func TestEqualReportsSpreadReads(t *testing.T) {
	counts := chosen(loaded("a", ms, 12*ms, 100*ms), loaded("b", ms, 12*ms, 110*ms))
	require.Greater(t, counts["a"], counts["b"])
	require.Greater(t, counts["b"], 200)
}

// TestReportedWaitWeighedAgainstTeamsReplica guards against reads of a team that leave the
// replica where its connection is open for a gain below the cost of a new one.
func TestReportedWaitWeighedAgainstTeamsReplica(t *testing.T) {
	other := loaded("other", ms, 12*ms, 0)
	other.NotPreferred = true
	require.Equal(t, map[string]int{"team's": 1000}, chosen(loaded("team's", ms, 12*ms, 10*ms), other))
	require.Equal(t, map[string]int{"other": 1000}, chosen(loaded("team's", ms, 12*ms, 60*ms), other))
}

// TestStalledCallOutweighsReport guards against a member that takes statements and answers
// none, so that its last report stays good.
func TestStalledCallOutweighsReport(t *testing.T) {
	stalled := loaded("stalled", ms, 12*ms, 0)
	stalled.OldestCall = 300 * ms
	require.Equal(t, map[string]int{"far": 1000}, chosen(stalled, loaded("far", 30*ms, 12*ms, 0)))
}

// TestWithoutReportsOrderUnchanged guards against any effect where no gate reports.
func TestWithoutReportsOrderUnchanged(t *testing.T) {
	a := balance.Candidate{ID: "a", RoundTrip: ms, ResponseTime: 20 * ms, OldestCall: time.Second, Slots: 4}
	b := balance.Candidate{ID: "b", RoundTrip: 30 * ms, ResponseTime: 20 * ms, Slots: 4}
	require.Equal(t, "a", first(a, b))
	require.Equal(t, map[string]int{"a": 1000}, chosen(a, b))
}
