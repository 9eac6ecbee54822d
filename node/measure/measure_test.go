package measure_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/node/measure"
)

// failover holds the log lines of a failover of service s, and one of service t. The
// first line has a log collector's prefix.
var failover = []string{
	`  2.5 a {"host":"a","service":"s","event":408,"name":"primary_believed_dead","upstream":"m1","alive_ms_ago":600,"time":"2026-06-22T10:00:02.500Z"}`,
	`{"host":"b","service":"s","event":408,"name":"primary_believed_dead","upstream":"m1","alive_ms_ago":550,"time":"2026-06-22T10:00:02.520Z"}`,
	`{"host":"b","service":"t","event":408,"name":"primary_believed_dead","upstream":"x","alive_ms_ago":1,"time":"2026-06-22T10:00:02.600Z"}`,
	`{"host":"a","service":"s","event":409,"name":"primary_loss_agreed","upstream":"m1","token":7,"time":"2026-06-22T10:00:02.600Z"}`,
	`{"host":"a","service":"s","event":410,"name":"promotion_ordered","upstream":"m2","token":7,"time":"2026-06-22T10:00:02.700Z"}`,
	`{"host":"a","service":"s","event":403,"name":"primary_changed","upstream":"m2","was":"m1","source":"proof","time":"2026-06-22T10:00:03.000Z"}`,
	`{"host":"a","service":"s","event":402,"name":"primary_promoted","upstream":"m2","token":7,"time":"2026-06-22T10:00:03.010Z"}`,
	`{"host":"b","service":"s","event":403,"name":"primary_changed","upstream":"m2","was":"m1","source":"peer","time":"2026-06-22T10:00:03.030Z"}`,
	`{"host":"b","service":"s","event":411,"name":"primary_first_write","upstream":"m2","time":"2026-06-22T10:00:03.070Z"}`,
	`{"host":"a","service":"s","event":411,"name":"primary_first_write","upstream":"m2","time":"2026-06-22T10:00:03.170Z"}`,
}

func parse(t *testing.T, texts ...string) []measure.Line {
	t.Helper()
	var out []measure.Line
	for _, text := range texts {
		l, ok := measure.Parse(text)
		require.True(t, ok, text)
		out = append(out, l)
	}
	return out
}

func TestPhasesOfFailover(t *testing.T) {
	const ms = time.Millisecond
	losses := measure.FindPrimaryLosses(parse(t, failover...))
	require.Equal(t, []measure.PrimaryLoss{{
		Service: "s", Lost: "m1", Next: "m2", At: time.Date(2026, 6, 22, 10, 0, 1, 970e6, time.UTC),
		Suspected: 530 * ms, Agreed: 630 * ms, Ordered: 730 * ms, Leads: 1040 * ms,
		KnownHalf: 1060 * ms, KnownAll: 1060 * ms, FirstWrite: 1100 * ms,
	}}, losses)
}

func TestLossOfLivePrimaryIsMarked(t *testing.T) {
	lines := append(parse(t, failover...), parse(t,
		`{"host":"b","service":"s","event":403,"upstream":"","was":"m1","source":"refused as replica","time":"2026-06-22T10:00:03.200Z"}`)...)
	require.True(t, measure.FindPrimaryLosses(lines)[0].StillAlive)
}

// Without a host that considered the primary lost, a promotion was planned.
func TestPlannedReplacementIsNoLoss(t *testing.T) {
	require.Empty(t, measure.FindPrimaryLosses(parse(t, failover[3:]...)))
	require.Empty(t, measure.FindPrimaryLosses(nil))
}

func TestReplicaShareOfReads(t *testing.T) {
	reads := measure.SumReads(parse(t,
		`{"host":"a","service":"s","event":315,"consistency":"bounded_staleness","replica":90,"primary_no_floor":4,"time":"2026-06-22T10:00:05Z"}`,
		`{"host":"b","service":"s","event":315,"consistency":"bounded_staleness","replica":6,"time":"2026-06-22T10:00:05Z"}`,
		`{"host":"b","service":"s","event":315,"consistency":"primary","primary_by_route":7,"time":"2026-06-22T10:00:05Z"}`,
		failover[0]))
	require.Len(t, reads, 2)
	require.Equal(t, measure.Reads{Consistency: "bounded_staleness", Replica: 96, NoFloor: 4}, reads[0])
	require.InDelta(t, 0.96, reads[0].ReplicaShare(), 1e-9)
	require.Zero(t, reads[1].ReplicaShare())
	require.Zero(t, measure.Reads{}.ReplicaShare())
}

func TestLinesThatAreNotEventsAreSkipped(t *testing.T) {
	for _, text := range []string{"", "plain", "{", `{"a":1}`} {
		_, ok := measure.Parse(text)
		require.False(t, ok, text)
	}
}

// Rates are per host and second, over the time that the logs span.
func TestControlTrafficByPurpose(t *testing.T) {
	lines := parse(t,
		`{"host":"a","event":101,"name":"host_started","time":"2026-06-22T10:00:00Z"}`,
		`{"host":"a","event":316,"name":"talk_counted","talk":{"store watch ok":12,"datagram floor":3},"time":"2026-06-22T10:00:05Z"}`,
		`{"host":"b","event":316,"name":"talk_counted","talk":{"datagram floor":1},"time":"2026-06-22T10:00:04Z"}`,
	)
	require.Equal(t, []measure.ControlTraffic{
		{Purpose: "store watch ok", Count: 12, PerHostSecond: 1.2},
		{Purpose: "datagram floor", Count: 4, PerHostSecond: 0.4},
	}, measure.SumControlTraffic(lines))
	require.Empty(t, measure.SumControlTraffic(nil))
}
