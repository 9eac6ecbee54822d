package storelink

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestOutageDuringRollingRelayRestarts replays a day of a host: a start, a relay, an
// outage of both sources, the return of the relay, and a restore of the store.
func TestOutageDuringRollingRelayRestarts(t *testing.T) {
	l := New()
	require.Equal(t, Starting, l.Phase())
	require.False(t, l.MayFollow())
	require.True(t, l.Failed(1*time.Second))
	require.False(t, l.Failed(2*time.Second), "the store was unreachable already")
	require.Equal(t, Starting, l.Phase(), "a host without a listing has nothing to serve")

	require.True(t, l.Listed(3*time.Second, 0))
	require.Equal(t, Watching, l.Phase())
	l.Follow("relay-1")
	require.Equal(t, Following, l.Phase())

	l.RelayLost()
	require.True(t, l.Failed(4*time.Second))
	require.Equal(t, Polling, l.Phase())
	const overdue = 10 * time.Second
	require.False(t, l.PollDue(4*time.Second+PollDelay-1, overdue))
	require.True(t, l.PollDue(4*time.Second+PollDelay, overdue))

	l.Follow("relay-2")
	require.True(t, l.Answered(6*time.Second, 0))
	require.Equal(t, Following, l.Phase())
	require.False(t, l.RestoreObserved(), "the relay sends a listing")

	l.UseStore()
	require.True(t, l.RestoreObserved())
	require.Equal(t, Relisting, l.Phase())
	require.False(t, l.Recent(6*time.Second, time.Second), "changes may be missing")
	l.Listed(7*time.Second, 0)
	require.True(t, l.Recent(8*time.Second, time.Second))
	require.False(t, l.Recent(8*time.Second+1, time.Second))
}

// TestHostPollsBeforeAnUnansweredWatchFails guards against a host that is deaf for the
// whole time-out of a watch: an answer is overdue before.
func TestHostPollsBeforeAnUnansweredWatchFails(t *testing.T) {
	p := NewPacing(3 * time.Second)
	l := New()
	require.False(t, l.PollDue(time.Hour, p.WatchWait), "a host without a listing knows no other host")
	l.Listed(time.Second, 0)
	require.False(t, l.PollDue(time.Second+p.WatchWait+PollDelay, p.WatchWait))
	require.True(t, l.PollDue(time.Second+p.WatchWait+PollDelay+1, p.WatchWait))
	require.False(t, l.Unreachable())
	require.Less(t, p.WatchWait+PollDelay, p.WatchTimeout)
}

// TestFollowerPollsWhenItsRelaysDataIsOld guards against ages that add up along relays: a
// relay that the store does not answer goes on sending for a while.
func TestFollowerPollsWhenItsRelaysDataIsOld(t *testing.T) {
	const overdue = time.Second
	l := New()
	l.Listed(time.Second, 0)
	l.Follow("relay")
	l.Answered(3*time.Second, 1800*time.Millisecond)
	require.Equal(t, 1800*time.Millisecond, l.Age(3*time.Second))
	require.False(t, l.PollDue(3*time.Second, overdue))
	l.Answered(3200*time.Millisecond, 2*time.Second)
	require.True(t, l.PollDue(3200*time.Millisecond, overdue))
	l.Answered(3400*time.Millisecond, 4*time.Second)
	require.Equal(t, 2200*time.Millisecond, l.Age(3400*time.Millisecond), "another relay's older data takes nothing away")
}

// TestRelayIsNotFollowedAgainBeforeItsMissingChangesWereFetched guards against a follower
// that returns to a relay which lacks the same changes once more.
func TestRelayIsNotFollowedAgainBeforeItsMissingChangesWereFetched(t *testing.T) {
	l := New()
	l.Listed(time.Second, 0)
	l.Follow("relay-1")
	l.RelayLacksChanges()
	require.False(t, l.MayFollow())
	require.Equal(t, Watching, l.Phase())
	require.True(t, l.TakeCatchUp())
	require.False(t, l.TakeCatchUp())
	require.True(t, l.MayFollow())
}

// TestPhasesAgreeWithWhatAHostMayDo checks, for any order of events, that a host in each
// phase may do what the phase promises.
func TestPhasesAgreeWithWhatAHostMayDo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := New(), time.Second
		events := []func(){
			func() { l.Failed(now) }, func() { l.Answered(now, 0) }, func() { l.Listed(now, 0) },
			l.HistoryLost, func() { l.RestoreObserved() }, l.UseStore,
			func() {
				if l.MayFollow() {
					l.Follow("relay")
				}
			},
			l.RelayLost, l.RelayLacksChanges, func() { l.TakeCatchUp() },
		}
		listed := false
		for _, event := range rapid.SliceOf(rapid.IntRange(0, len(events)-1)).Draw(t, "events") {
			now += time.Millisecond
			if event == 1 && !listed {
				continue // Changes arrive only after a listing.
			}
			events[event]()
			listed = listed || event == 2
			require.Equal(t, !listed, l.Phase() == Starting)
			require.False(t, l.PollDue(now, time.Hour) && !l.Unreachable())
			switch l.Phase() {
			case Starting, Relisting:
				require.False(t, l.MayFollow())
				require.False(t, l.Recent(now, time.Hour))
			case Polling:
				require.True(t, l.PollDue(now+PollDelay, time.Hour))
			case Watching:
				require.Empty(t, l.Relay())
				require.True(t, l.Recent(now, time.Hour))
			case Following:
				require.NotEmpty(t, l.Relay())
				require.False(t, l.UsesStore())
			}
		}
	})
}
