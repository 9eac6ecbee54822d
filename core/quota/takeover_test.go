package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/quota"
)

// TestCounterThatJoinsGrantsNoSecondBurst guards against a second burst when a host
// that has just registered takes a team over from a counter that has granted
// everything. Together they must grant no more than one counter.
func TestCounterThatJoinsGrantsNoSecondBurst(t *testing.T) {
	l := limitOf(4, 4)
	const step = 10 * time.Millisecond
	for startedBefore := time.Duration(0); startedBefore <= 5*time.Second; startedBefore += 500 * time.Millisecond {
		takeover := 10 * time.Second
		previous := quota.NewCounter(tolerance, 0)
		next := quota.NewCounter(tolerance, takeover-startedBefore)
		var admittedAt []time.Duration
		for now := takeover - time.Second; now < 20*time.Second; now += step {
			counter := previous
			if now == takeover {
				next.TakeOver(now)
			}
			if now >= takeover {
				counter = next
			}
			for range counter.Acquire(team, l, quota.EvenAllotment(3), 1, now).Granted {
				admittedAt = append(admittedAt, now)
			}
		}
		require.LessOrEqual(t, float64(maxInWindow(admittedAt)), maxOperations(l, tolerance)/3, "started %s before", startedBefore)
	}
}

// TestCounterThatResumesGrantsNoSecondBurst guards against a bucket that has filled while
// another host counted the team.
func TestCounterThatResumesGrantsNoSecondBurst(t *testing.T) {
	l, resumedAt := limitOf(1000, 1000), 30*time.Second
	c := quota.NewCounter(tolerance, 0)
	c.Acquire(team, l, quota.EvenAllotment(1), 1000, 10*time.Second)
	require.Equal(t, []string{team}, c.Teams())
	c.Forget(team)
	c.TakeOver(resumedAt)
	require.Zero(t, c.Acquire(team, l, quota.EvenAllotment(1), 1000, resumedAt).Granted)
}
