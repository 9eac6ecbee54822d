package health_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/health"
)

// traffic has a member answer a statement after each pause, with others waiting,
// for a while. It returns the time of the newest answer.
func traffic(h *health.Health, pause, length time.Duration) time.Duration {
	now := time.Second
	h.Asked(now)
	h.Asked(now)
	for end := now + length; now < end; {
		now += pause
		h.Answered(now-pause, now)
		h.Asked(now)
		h.Asked(now)
	}
	return now
}

// TestBusyMemberThatGoesDark: dozens of statements wait for it, and none of them
// has timed out yet.
func TestBusyMemberThatGoesDark(t *testing.T) {
	var h health.Health
	last := traffic(&h, 6*ms, time.Second)
	require.False(t, h.Doubtful(last+149*ms))
	require.True(t, h.Doubtful(last+150*ms))
	require.False(t, h.Dead(last+499*ms, false))
	require.True(t, h.Dead(last+500*ms, false))
	h.Answered(last, last+600*ms)
	require.False(t, h.Dead(last+600*ms, false), "it was slow, and is not dead")
}

// TestMemberThatPausesNeedsALongerSilence: what is usual for it is learnt, and
// forgotten when it runs well again.
func TestMemberThatPausesNeedsALongerSilence(t *testing.T) {
	var h health.Health
	last := traffic(&h, 200*ms, 2*time.Second)
	require.False(t, h.Dead(last+700*ms, false))
	require.True(t, h.Dead(last+800*ms, false))
	last = traffic(&h, 400*ms, 2*time.Second)
	require.False(t, h.Dead(last+health.SilentFor-ms, false))
	require.True(t, h.Dead(last+health.SilentFor, false), "there is an end to it")
	last = traffic(&h, 6*ms, 40*time.Second)
	require.True(t, h.Dead(last+500*ms, false))
}

// TestOneLostAnswerIsNoSilence: a host with little traffic asks once more first.
func TestOneLostAnswerIsNoSilence(t *testing.T) {
	var h health.Health
	h.Asked(time.Second)
	require.True(t, h.Doubtful(2*time.Second), "it is to be probed")
	require.False(t, h.Dead(2*time.Second, false))
	h.Asked(2 * time.Second)
	require.True(t, h.Dead(2*time.Second, false))
	h.Answered(2*time.Second, 2010*ms)
	require.False(t, h.Doubtful(3*time.Second))
}

// TestMachineThatTakesNoConnections: a host without traffic only dials, which
// the member's machine answers without a queue.
func TestMachineThatTakesNoConnections(t *testing.T) {
	var h health.Health
	h.Dialled(time.Second)
	h.Dialled(1100 * ms)
	require.False(t, h.Dead(1299*ms, false))
	require.True(t, h.Dead(1300*ms, false))
	h = health.Health{}
	h.Dialled(time.Second)
	h.Connected(1040 * ms)
	h.Dialled(1100 * ms)
	require.False(t, h.Dead(1400*ms, false), "it took one; its login may wait in a queue")
	require.True(t, h.Dead(1540*ms, false))
}

// TestHostThatStoodStillHasHeardNothing: its own suspension is no silence of
// others.
func TestHostThatStoodStillHasHeardNothing(t *testing.T) {
	var h health.Health
	last := traffic(&h, 6*ms, time.Second)
	woke := last + 3*time.Second
	h.Resumed(woke)
	require.False(t, h.Dead(woke, false))
	require.False(t, h.Dead(woke+499*ms, false))
	require.True(t, h.Dead(woke+500*ms, false))
}

// TestConnectionsThatBreakAreNoRefusals: a member that is up may reset them all.
func TestConnectionsThatBreakAreNoRefusals(t *testing.T) {
	var h health.Health
	h.Broken(time.Second, time.Second)
	h.Broken(time.Second, time.Second)
	require.False(t, h.Dead(time.Second+health.RefusedFor, false))
	require.True(t, h.Dead(time.Second+health.BrokenFor, false))
	h = health.Health{}
	h.Refused(time.Second, time.Second)
	h.Refused(time.Second, time.Second)
	h.Listens()
	require.False(t, h.Dead(10*time.Second, false), "a listener that was started again")
}
