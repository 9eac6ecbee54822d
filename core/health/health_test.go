package health_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/health"
)

const ms = time.Millisecond

func TestDeadAfterRepeatedRefusals(t *testing.T) {
	var d health.MemberDetector
	d.ConnectionRefused(100*ms, 100*ms)
	require.True(t, d.Failing())
	require.False(t, d.Dead(10*time.Second, false), "a restarting listener may refuse one connection")
	d.ConnectionRefused(300*ms, 300*ms)
	require.False(t, d.Dead(100*ms+health.RefusedTimeout-1, false))
	require.True(t, d.Dead(100*ms+health.RefusedTimeout, false))
}

func TestDeadAfterTimeout(t *testing.T) {
	var d health.MemberDetector
	d.ExchangeTimedOut(100 * ms)
	require.False(t, d.Dead(100*ms+health.MaxSilenceTimeout-1, false))
	require.True(t, d.Dead(100*ms+health.MaxSilenceTimeout, false))
	require.True(t, d.Dead(100*ms+health.CorroboratedSilenceTimeout, true), "corroborated by another host")
	require.False(t, d.Dead(100*ms+health.CorroboratedSilenceTimeout-1, true))
}

// A timeout of an exchange that began before the latest successful one is ignored.
func TestFailureOfOlderExchangeIsIgnored(t *testing.T) {
	var d health.MemberDetector
	d.ExchangeSucceeded(500 * ms)
	d.ExchangeTimedOut(100 * ms)
	require.False(t, d.Failing())
}

func TestSuccessOfOlderExchangeDoesNotClearFailure(t *testing.T) {
	var d health.MemberDetector
	d.ExchangeTimedOut(500 * ms)
	d.ExchangeSucceeded(400 * ms)
	require.True(t, d.Failing())
	d.ExchangeSucceeded(600 * ms)
	require.False(t, d.Failing())
	require.False(t, d.Dead(time.Hour, false))
}

// A host that has no further exchanges with a member must not suspect it forever.
func TestEvidenceExpires(t *testing.T) {
	for name, fail := range map[string]func(*health.MemberDetector){
		"refused":    func(d *health.MemberDetector) { d.ConnectionRefused(time.Second, time.Second) },
		"timeout":    func(d *health.MemberDetector) { d.ExchangeTimedOut(time.Second) },
		"unanswered": func(d *health.MemberDetector) { d.RequestSent(time.Second) },
		"dialled":    func(d *health.MemberDetector) { d.DialStarted(time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			var d health.MemberDetector
			fail(&d)
			d.ExpireEvidence(2900 * ms)
			require.True(t, d.Suspect(2900*ms), "the evidence has not expired")
			d.ExpireEvidence(3000 * ms)
			require.False(t, d.Suspect(10*time.Second))
			require.False(t, d.Dead(10*time.Second, true))
		})
	}
}
