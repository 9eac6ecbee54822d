package storelink

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestChangeIsInForceInTimeAfterAWatchThatIsNeverAnswered adds up the longest way of a
// change: a watch that a store which was unresponsive never answers, the longest backoff,
// and a listing.
func TestChangeIsInForceInTimeAfterAWatchThatIsNeverAnswered(t *testing.T) {
	const bound = 3 * time.Second
	p := NewPacing(bound)
	require.Equal(t, p, NewPacing(0))
	require.Less(t, p.WatchWait, p.WatchTimeout)
	rest := bound - p.WatchTimeout - p.Backoff(Relay, true, false, 10).Max
	require.GreaterOrEqual(t, rest, 200*time.Millisecond, "left for the listing")
}

// TestLargeFleetInAnOutageSpacesItsCalls: most hosts await a relay while the store is
// away, and call less often than relays do.
func TestLargeFleetInAnOutageSpacesItsCalls(t *testing.T) {
	p := NewPacing(8 * time.Second)
	require.Greater(t, p.Backoff(AwaitingRelay, true, false, 10).Max, p.Backoff(Relay, true, false, 10).Max)
	require.Greater(t, p.WatchSpacing(AwaitingRelay), p.WatchSpacing(Relay))
	require.Greater(t, p.WatchSpacing(Relay), p.WatchSpacing(Alone))
	require.Less(t, p.Backoff(AwaitingRelay, false, false, 0).Max, p.Backoff(Relay, true, false, 10).Max, "a host that cannot serve retries soon")
	require.Equal(t, p.Backoff(AwaitingRelay, true, false, 0), p.Backoff(AwaitingRelay, false, true, 0), "not at a store that throttles calls")
	require.Equal(t, p.Backoff(Alone, true, false, 0), p.Backoff(Alone, false, false, maxStartupCalls))
}
