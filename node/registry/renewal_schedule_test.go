package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/roster"
	"github.com/dotterelswitch/dotterelswitch/core/store"
)

var errUnanswered = &store.Error{Failure: store.Unanswered}

// delayAfter returns the delay after attempts with the given results, on a host that has
// listed the store.
// leaseTTL and renewInterval are those of a small fleet.
var (
	leaseTTL      = roster.LeaseTTL(0)
	renewInterval = roster.RenewalInterval(leaseTTL)
)

func delayAfter(results ...error) time.Duration {
	var s renewalSchedule
	for _, err := range results {
		s.record(err)
	}
	return s.delay(true, renewInterval)
}

// TestFailedRenewalIsRetriedWithinLease checks that a renewal which times out leaves time
// for a retry within the lease, and one that is refused at once for two.
func TestFailedRenewalIsRetriedWithinLease(t *testing.T) {
	// longestCall is the longest call timeout of the deployments.
	const longestCall = 1500 * time.Millisecond
	require.Less(t, delayAfter(nil)+longestCall+delayAfter(errUnanswered)+longestCall/2, leaseTTL)
	require.Less(t, delayAfter(nil)+delayAfter(errUnanswered)+delayAfter(errUnanswered, errUnanswered), leaseTTL, "two retries if calls are refused at once")
}

// TestThrottledRenewalIsNotRetriedEarly: retries would prolong the overload of the store.
func TestThrottledRenewalIsNotRetriedEarly(t *testing.T) {
	require.Equal(t, delayAfter(nil), delayAfter(&store.Error{Failure: store.Throttled}))
}

// TestRenewalRetriesBackOff simulates an outage of 9 s in which every call is refused at
// once.
func TestRenewalRetriesBackOff(t *testing.T) {
	var s renewalSchedule
	calls := 0
	for at := renewInterval / 2; at < 9*time.Second; at += s.delay(true, renewInterval) {
		s.record(errUnanswered)
		calls++
	}
	require.LessOrEqual(t, calls, 6, "16 without backoff")
	require.LessOrEqual(t, s.delay(true, renewInterval), 2*time.Second, "the host registers soon after the outage")
	s.record(nil)
	require.Equal(t, renewInterval, s.delay(true, renewInterval))
	s.record(errUnanswered)
	require.Equal(t, renewRetryDelay, s.delay(true, renewInterval), "a success resets the backoff")
}

// TestStoreContactAllowsOneEarlyRetry: a relay may send updates several times a second
// while the store still refuses this host.
func TestStoreContactAllowsOneEarlyRetry(t *testing.T) {
	var s renewalSchedule
	require.False(t, s.mayRetryEarly())
	s.record(errUnanswered)
	require.True(t, s.mayRetryEarly())
	s.recordEarlyRetry()
	s.record(errUnanswered)
	require.False(t, s.mayRetryEarly())
	s.record(nil)
	s.record(errUnanswered)
	require.True(t, s.mayRetryEarly())
}

// TestReregistrationDelayGrowsWithFleetSize: the spread of the renewals suffices for a
// small fleet but not for a large one.
func TestReregistrationDelayGrowsWithFleetSize(t *testing.T) {
	for range 100 {
		require.Zero(t, reregistrationDelay(300, renewInterval))
		require.LessOrEqual(t, reregistrationDelay(300, 0), 1500*time.Millisecond)
	}
	longest := time.Duration(0)
	for range 1000 {
		longest = max(longest, reregistrationDelay(5000, renewInterval))
	}
	require.Greater(t, longest, 10*time.Second)
}
