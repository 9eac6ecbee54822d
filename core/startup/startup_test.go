package startup_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/startup"
)

// Timing of a fleet restart.
const (
	started  = 10 * time.Second
	configAt = started + 600*time.Millisecond
	// A caller makes three attempts, 150 ms apart.
	maxAttempts, retryDelay = 3, 150 * time.Millisecond
)

// servedAfterPowerLoss returns how many of the callers that arrive within a second of
// the start are served if each attempt waits until waitUntil.
func servedAfterPowerLoss(waitUntil func(now time.Duration) time.Duration) int {
	served := 0
	for arrival := started; arrival < started+time.Second; arrival += 10 * time.Millisecond {
		now := arrival
		for range maxAttempts {
			if until := waitUntil(now); max(now, until) >= configAt {
				served++
				break
			}
			now = max(now, waitUntil(now)) + retryDelay
		}
	}
	return served
}

// TestCallersAreServedAfterPowerLoss compares callers that are rejected
// immediately with callers that wait: without waiting, many use up their attempts
// before the configuration arrives.
func TestCallersAreServedAfterPowerLoss(t *testing.T) {
	servedWithoutWait := servedAfterPowerLoss(func(now time.Duration) time.Duration { return now })
	servedWithWait := servedAfterPowerLoss(func(now time.Duration) time.Duration { return startup.LoginDeadline(started, now) })
	require.Less(t, servedWithoutWait, 75)
	require.Equal(t, 100, servedWithWait)
}

// TestCallersAreRefusedOnceConfigTimeoutPassed checks that a host that stays without
// configuration rejects logins and statements immediately.
func TestCallersAreRefusedOnceConfigTimeoutPassed(t *testing.T) {
	now := started + 4*time.Second
	require.LessOrEqual(t, startup.LoginDeadline(started, now), now)
	require.LessOrEqual(t, startup.StatementDeadline(started, now+time.Second), now)
}

// TestWaitsAreBoundedByTheCallersDeadline checks that a login waits less than its
// caller's timeout, and a statement no longer than its latest start.
func TestWaitsAreBoundedByTheCallersDeadline(t *testing.T) {
	require.Less(t, startup.LoginDeadline(started, started)-started, 2*time.Second)
	require.Equal(t, started+100*time.Millisecond, startup.StatementDeadline(started, started+100*time.Millisecond))
}
