package health_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/health"
)

// A gate that stops answering under load becomes unusable before the first
// outstanding statement times out.
func TestSilentGateIsNotUsable(t *testing.T) {
	var d health.GateDetector
	for i := range 10 {
		d.CallStarted("a", time.Duration(i)*20*ms)
	}
	d.CallEnded("a", true, 190*ms)
	require.True(t, d.Usable("a", 190*ms+health.GateSilenceTimeout))
	require.False(t, d.Usable("a", 191*ms+health.GateSilenceTimeout))
	require.True(t, d.Usable("b", time.Second))
	d.CallEnded("a", true, 2*time.Second)
	require.True(t, d.Usable("a", 2*time.Second), "the gate answers again")
}

func TestIdleGateIsUsable(t *testing.T) {
	var d health.GateDetector
	d.CallStarted("a", 0)
	d.CallEnded("a", true, 10*ms)
	require.True(t, d.Usable("a", time.Hour))
}

func TestFailingGateBacksOffExponentially(t *testing.T) {
	var d health.GateDetector
	now := time.Duration(0)
	var backoffs []time.Duration
	for range 6 {
		d.CallStarted("a", now)
		d.CallEnded("a", false, now)
		backoff := time.Duration(0)
		for !d.Usable("a", now+backoff) {
			backoff += 100 * ms
		}
		backoffs = append(backoffs, backoff)
		now += backoff
	}
	require.Equal(t, []time.Duration{400 * ms, 800 * ms, 1600 * ms, 3200 * ms, 5000 * ms, 5000 * ms}, backoffs)
	d.CallStarted("a", now)
	d.CallEnded("a", true, now)
	require.True(t, d.Usable("a", now))
}

// A single outstanding statement triggers a probe early enough to run the statement on
// another gate within its latency objective.
func TestSilentGateIsProbedWithinLatencyObjective(t *testing.T) {
	const objective, probeTime, executionTime = 500 * ms, 200 * ms, 100 * ms
	var d health.GateDetector
	require.False(t, d.ProbeDue("a", time.Second), "no call is outstanding")
	d.CallStarted("a", time.Second)
	require.False(t, d.ProbeDue("a", time.Second+health.GateProbeDelay-1))
	require.True(t, d.ProbeDue("a", time.Second+health.GateProbeDelay))
	require.LessOrEqual(t, health.GateProbeDelay+probeTime+executionTime, objective)
	d.ProbeAnswered("a", 1100*ms)
	require.False(t, d.ProbeDue("a", time.Second+health.GateProbeDelay), "the gate answered a probe")
	d.CallEnded("a", true, 1200*ms)
	require.False(t, d.ProbeDue("a", 2*time.Second))
}
