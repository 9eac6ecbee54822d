package health_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/health"
)

const ms = time.Millisecond

func TestOneRefusalIsNotDeath(t *testing.T) {
	var h health.Health
	h.Refused(100*ms, 100*ms)
	require.True(t, h.Failing())
	require.False(t, h.Dead(10*time.Second, false), "a listener that restarts refuses once")
	h.Refused(300*ms, 300*ms)
	require.False(t, h.Dead(100*ms+health.RefusedFor-1, false))
	require.True(t, h.Dead(100*ms+health.RefusedFor, false))
}

func TestSilenceTakesLonger(t *testing.T) {
	var h health.Health
	h.Silent(100 * ms)
	require.False(t, h.Dead(100*ms+health.SilentFor-1, false))
	require.True(t, h.Dead(100*ms+health.SilentFor, false))
	require.True(t, h.Dead(100*ms+health.SilentWithOthers, true), "another host found the same")
	require.False(t, h.Dead(100*ms+health.SilentWithOthers-1, true))
}

// TestLateFailureOfAnOldExchange: an answer to something sent later is newer
// evidence than a timeout that is noticed after it.
func TestLateFailureOfAnOldExchange(t *testing.T) {
	var h health.Health
	h.Succeeded(500 * ms)
	h.Silent(100 * ms)
	require.False(t, h.Failing())
}

func TestAnswerToAnOlderRequestDoesNotClear(t *testing.T) {
	var h health.Health
	h.Silent(500 * ms)
	h.Succeeded(400 * ms)
	require.True(t, h.Failing())
	h.Succeeded(600 * ms)
	require.False(t, h.Failing())
	require.False(t, h.Dead(time.Hour, false))
}

// TestDoubtEndsWhereNothingElseWouldEndIt: a host that has no reason to ask a
// member again does not doubt it for good.
func TestDoubtEndsWhereNothingElseWouldEndIt(t *testing.T) {
	for name, doubt := range map[string]func(*health.Health){
		"refused":    func(h *health.Health) { h.Refused(time.Second, time.Second) },
		"silent":     func(h *health.Health) { h.Silent(time.Second) },
		"unanswered": func(h *health.Health) { h.Asked(time.Second) },
		"dialled":    func(h *health.Health) { h.Dialled(time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			var h health.Health
			doubt(&h)
			h.Expire(2900 * ms)
			require.True(t, h.Doubtful(2900*ms), "it may still be answered, or asked again")
			h.Expire(3000 * ms)
			require.False(t, h.Doubtful(10*time.Second))
			require.False(t, h.Dead(10*time.Second, true))
		})
	}
}
