package exectime_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/exectime"
)

const ms = time.Millisecond

// TestExtraExecutionTimeIgnoresQueueingDelay checks that the difference between two
// kinds is estimated correctly although the queueing delay varies far more.
func TestExtraExecutionTimeIgnoresQueueingDelay(t *testing.T) {
	var times exectime.Times
	now := time.Duration(0)
	for i := range 6000 {
		now += 5 * ms
		queue := time.Duration(i%400) * 250 * ms / 400
		times.Observe("short", queue+9*ms, now)
		if i%5 == 0 {
			times.Observe("long", queue+15*ms, now)
		}
	}
	require.Zero(t, times.ExtraExecutionTime("short", now))
	require.InDelta(t, float64(6*ms), float64(times.ExtraExecutionTime("long", now)), float64(3*ms))
	require.Zero(t, times.ExtraExecutionTime("unknown", now))
}

// TestStaleKindIsIgnored checks that a kind without recent samples, whose mean
// includes an outdated queueing delay, does not count as the fastest kind.
func TestStaleKindIsIgnored(t *testing.T) {
	var times exectime.Times
	times.Observe("stale", ms, time.Second)
	times.Observe("long", 15*ms, 20*time.Second)
	require.Zero(t, times.ExtraExecutionTime("long", 20*time.Second))
}
