package startup_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/startup"
)

// The load of a fleet that lost power: figures of the day that found it.
const (
	started  = 10 * time.Second
	configAt = started + 600*time.Millisecond
	// A caller has three tries, 150 ms apart.
	tries, tryPause = 3, 150 * time.Millisecond
)

// servedAfterPowerLoss returns how many of the callers that come within a
// second of the start are served, if one is refused when waitUntil has passed.
func servedAfterPowerLoss(waitUntil func(now time.Duration) time.Duration) int {
	served := 0
	for came := started; came < started+time.Second; came += 10 * time.Millisecond {
		now := came
		for range tries {
			if until := waitUntil(now); max(now, until) >= configAt {
				served++
				break
			}
			now = max(now, waitUntil(now)) + tryPause
		}
	}
	return served
}

// TestCallersOfAFleetThatLostPowerAreServed replays callers that connect again
// as soon as their host runs: turned away at once, a third of them have used up
// their tries before the configuration comes.
func TestCallersOfAFleetThatLostPowerAreServed(t *testing.T) {
	atOnce := servedAfterPowerLoss(func(now time.Duration) time.Duration { return now })
	waiting := servedAfterPowerLoss(func(now time.Duration) time.Duration { return startup.LoginUntil(started, now) })
	require.Less(t, atOnce, 75)
	require.Equal(t, 100, waiting)
}

// TestNobodyWaitsForAHostThatStaysWithoutConfiguration: after seconds a login
// and a statement are refused at once.
func TestNobodyWaitsForAHostThatStaysWithoutConfiguration(t *testing.T) {
	now := started + 4*time.Second
	require.LessOrEqual(t, startup.LoginUntil(started, now), now)
	require.LessOrEqual(t, startup.StatementUntil(started, now+time.Second), now)
}

// TestNobodyWaitsPastTheirTime: a login waits less than its caller does, a
// statement no longer than it can be served.
func TestNobodyWaitsPastTheirTime(t *testing.T) {
	require.Less(t, startup.LoginUntil(started, started)-started, 2*time.Second)
	require.Equal(t, started+100*time.Millisecond, startup.StatementUntil(started, started+100*time.Millisecond))
}
