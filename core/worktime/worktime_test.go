package worktime_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/worktime"
)

const ms = time.Millisecond

// TestExtraTimeIgnoresQueueingDelay checks that the difference between two kinds is
// estimated correctly while the queueing delay varies by far more than it.
func TestExtraTimeIgnoresQueueingDelay(t *testing.T) {
	var times worktime.Times
	now := time.Duration(0)
	for i := range 6000 {
		now += 5 * ms
		queue := time.Duration(i%400) * 250 * ms / 400
		times.Observe("short", queue+9*ms, now)
		if i%5 == 0 {
			times.Observe("long", queue+15*ms, now)
		}
	}
	require.Zero(t, times.ExtraTime("short", now))
	require.InDelta(t, float64(6*ms), float64(times.ExtraTime("long", now)), float64(3*ms))
	require.Zero(t, times.ExtraTime("unknown", now))
}

// TestStaleKindIsIgnored checks that a kind without recent samples, whose mean
// includes an outdated queueing delay, is not compared with.
func TestStaleKindIsIgnored(t *testing.T) {
	var times worktime.Times
	times.Observe("stale", ms, time.Second)
	times.Observe("long", 15*ms, 20*time.Second)
	require.Zero(t, times.ExtraTime("long", 20*time.Second))
}
