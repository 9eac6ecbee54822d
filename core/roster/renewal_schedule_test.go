package roster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/store"
)

var errUnanswered = &store.Error{Failure: store.Unanswered}

// leaseTTL and renewInterval are those of a small fleet.
var (
	leaseTTL      = LeaseTTL(0)
	renewInterval = RenewalInterval(leaseTTL)
)

// delayAfter returns the delay after attempts with the given results, on a host that has
// listed the store.
func delayAfter(results ...error) time.Duration {
	var s RenewalSchedule
	for _, err := range results {
		s.Record(err)
	}
	return s.Delay(true, renewInterval)
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
	var s RenewalSchedule
	calls := 0
	for at := renewInterval / 2; at < 9*time.Second; at += s.Delay(true, renewInterval) {
		s.Record(errUnanswered)
		calls++
	}
	require.LessOrEqual(t, calls, 6, "16 without backoff")
	require.LessOrEqual(t, s.Delay(true, renewInterval), 2*time.Second, "the host registers soon after the outage")
	s.Record(nil)
	require.Equal(t, renewInterval, s.Delay(true, renewInterval))
	s.Record(errUnanswered)
	require.Equal(t, renewRetryDelay, s.Delay(true, renewInterval), "a success resets the backoff")
}

// TestStoreContactAllowsOneEarlyRetry: a relay may send updates several times a second
// while the store still refuses this host.
func TestStoreContactAllowsOneEarlyRetry(t *testing.T) {
	var s RenewalSchedule
	require.False(t, s.MayRetryEarly())
	s.Record(errUnanswered)
	require.True(t, s.MayRetryEarly())
	s.RecordEarlyRetry()
	s.Record(errUnanswered)
	require.False(t, s.MayRetryEarly())
	s.Record(nil)
	s.Record(errUnanswered)
	require.True(t, s.MayRetryEarly())
}
