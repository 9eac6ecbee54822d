package health_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/health"
)

// simulateTraffic has a member answer a request after each pause, with others
// outstanding, for the given duration. It returns the time of the latest answer.
func simulateTraffic(d *health.MemberDetector, pause, duration time.Duration) time.Duration {
	now := time.Second
	d.RequestSent(now)
	d.RequestSent(now)
	for end := now + duration; now < end; {
		now += pause
		d.ResponseReceived(now-pause, now)
		d.RequestSent(now)
		d.RequestSent(now)
	}
	return now
}

// A member that stops answering under load is detected before any outstanding
// statement times out.
func TestSilenceUnderLoad(t *testing.T) {
	var d health.MemberDetector
	last := simulateTraffic(&d, 6*ms, time.Second)
	require.False(t, d.Suspect(last+149*ms))
	require.True(t, d.Suspect(last+150*ms))
	require.False(t, d.Dead(last+499*ms, false))
	require.True(t, d.Dead(last+500*ms, false))
	d.ResponseReceived(last, last+600*ms)
	require.False(t, d.Dead(last+600*ms, false), "the member answered late")
}

// The silence timeout grows with a member's pauses, up to a maximum, and shrinks when
// the pauses become short again.
func TestSilenceTimeoutAdaptsToPauses(t *testing.T) {
	var d health.MemberDetector
	last := simulateTraffic(&d, 200*ms, 2*time.Second)
	require.False(t, d.Dead(last+700*ms, false))
	require.True(t, d.Dead(last+800*ms, false))
	last = simulateTraffic(&d, 400*ms, 2*time.Second)
	require.False(t, d.Dead(last+health.MaxSilenceTimeout-ms, false))
	require.True(t, d.Dead(last+health.MaxSilenceTimeout, false), "the timeout is bounded")
	last = simulateTraffic(&d, 6*ms, 40*time.Second)
	require.True(t, d.Dead(last+500*ms, false))
}

// A single unanswered request makes a member suspect but not dead.
func TestSingleUnansweredRequestMakesMemberSuspect(t *testing.T) {
	var d health.MemberDetector
	d.RequestSent(time.Second)
	require.True(t, d.Suspect(2*time.Second), "the member should be probed")
	require.False(t, d.Dead(2*time.Second, false))
	d.RequestSent(2 * time.Second)
	require.True(t, d.Dead(2*time.Second, false))
	d.ResponseReceived(2*time.Second, 2010*ms)
	require.False(t, d.Suspect(3*time.Second))
}

// Unanswered connection attempts alone use the shorter dial timeout.
func TestUnansweredDials(t *testing.T) {
	var d health.MemberDetector
	d.DialStarted(time.Second)
	d.DialStarted(1100 * ms)
	require.False(t, d.Dead(1299*ms, false))
	require.True(t, d.Dead(1300*ms, false))
	d = health.MemberDetector{}
	d.DialStarted(time.Second)
	d.DialSucceeded(1040 * ms)
	d.DialStarted(1100 * ms)
	require.False(t, d.Dead(1400*ms, false), "one connection was accepted; its login may be queued")
	require.True(t, d.Dead(1540*ms, false))
}

// Time during which this process was suspended does not count as a member's silence.
func TestOwnSuspensionIsNotSilence(t *testing.T) {
	var d health.MemberDetector
	last := simulateTraffic(&d, 6*ms, time.Second)
	resumed := last + 3*time.Second
	d.Resumed(resumed)
	require.False(t, d.Dead(resumed, false))
	require.False(t, d.Dead(resumed+499*ms, false))
	require.True(t, d.Dead(resumed+500*ms, false))
}

// Broken connections need a longer timeout than refusals: a member that is up may
// reset all its connections at once.
func TestBrokenConnectionsNeedLongerTimeout(t *testing.T) {
	var d health.MemberDetector
	d.ConnectionBroken(time.Second, time.Second)
	d.ConnectionBroken(time.Second, time.Second)
	require.False(t, d.Dead(time.Second+health.RefusedTimeout, false))
	require.True(t, d.Dead(time.Second+health.BrokenTimeout, false))
	d = health.MemberDetector{}
	d.ConnectionRefused(time.Second, time.Second)
	d.ConnectionRefused(time.Second, time.Second)
	d.ProbeAccepted()
	require.False(t, d.Dead(10*time.Second, false), "the listener accepts connections again")
}
