package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/store"
)

var errLost = &store.Error{Failure: store.Unanswered}

// pauseAfter returns the wait after attempts that ended like this, on a host that
// has listed the store.
func pauseAfter(ends ...error) time.Duration {
	var n renewals
	for _, err := range ends {
		n.ended(err)
	}
	return n.pause(true)
}

// TestLostRenewalIsRepeatedWithinTheLease: a renewal whose answer was lost, with
// the longest call of the deployments, leaves time for two more.
func TestLostRenewalIsRepeatedWithinTheLease(t *testing.T) {
	const call = 1500 * time.Millisecond
	require.Less(t, pauseAfter(nil)+call+pauseAfter(errLost)+call/2, leaseTTL)
	require.Less(t, pauseAfter(nil)+pauseAfter(errLost)+pauseAfter(errLost, errLost), leaseTTL, "of calls that are refused at once two more")
}

// TestBusyStoreIsNotAskedMoreOften: renewals that come above the store's rate
// would keep it there.
func TestBusyStoreIsNotAskedMoreOften(t *testing.T) {
	require.Equal(t, pauseAfter(nil), pauseAfter(&store.Error{Failure: store.Throttled}))
}

// TestRenewalsSpareAStoreThatIsAway replays an outage of 9 s in which every call is
// refused at once.
func TestRenewalsSpareAStoreThatIsAway(t *testing.T) {
	var n renewals
	calls := 0
	for at := renewEvery / 2; at < 9*time.Second; at += n.pause(true) {
		n.ended(errLost)
		calls++
	}
	require.LessOrEqual(t, calls, 6, "16 with the first pause after each")
	require.LessOrEqual(t, n.pause(true), 2*time.Second, "a host that is let in again is back soon")
	n.ended(nil)
	require.Equal(t, renewEvery, n.pause(true))
	n.ended(errLost)
	require.Equal(t, renewRetry, n.pause(true), "an outage starts anew")
}

// TestReturnOfTheStoreHurriesOneAttempt: others may reach a store that still turns
// this host away, and tell of it several times a second.
func TestReturnOfTheStoreHurriesOneAttempt(t *testing.T) {
	var n renewals
	require.False(t, n.mayHurry())
	n.ended(errLost)
	require.True(t, n.mayHurry())
	n.hurry()
	n.ended(errLost)
	require.False(t, n.mayHurry())
	n.ended(nil)
	n.ended(errLost)
	require.True(t, n.mayHurry())
}

// TestSmallFleetRegistersAtItsRenewals: spread over 3 s by themselves they wait no
// longer; a large fleet does, and hosts that the copy lacks come sooner.
func TestSmallFleetRegistersAtItsRenewals(t *testing.T) {
	for range 100 {
		require.Zero(t, spread(300, true))
		require.LessOrEqual(t, spread(300, false), 1500*time.Millisecond)
	}
	longest := time.Duration(0)
	for range 1000 {
		longest = max(longest, spread(5000, true))
	}
	require.Greater(t, longest, 10*time.Second)
}
