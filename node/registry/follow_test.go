package registry

import (
	"context"
	"errors"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/platform"
)

// relayAt returns the registry of a relay that has heard of everything up to a
// revision, and keeps the changes after another one.
func relayAt(revision, historyStart store.Revision, changes ...store.Item) *Registry {
	r := New(Config{Documents: platform.Documents{}, Self: gates.Host{Name: "relay"}, Changed: func() {}, Log: zerolog.Nop()})
	r.listed, r.heardAt = true, clock.Now()
	r.revision, r.historyStart, r.history = revision, historyStart, changes
	for _, i := range changes {
		r.remember(i)
	}
	return r
}

var errEnough = errors.New("enough")

// firstNews returns what a follower is told first.
func firstNews(t *testing.T, r *Registry, after store.Revision) News {
	t.Helper()
	var first News
	err := r.Tell(context.Background(), after, func(n News) error {
		first = n
		return errEnough
	})
	require.ErrorIs(t, err, errEnough)
	return first
}

func TestFollowerIsToldWhatItLacks(t *testing.T) {
	five, six := store.Item{Key: "a", Revision: 5}, store.Item{Key: "b", Revision: 6}
	r := relayAt(6, 4, five, six)
	n := firstNews(t, r, 5)
	require.False(t, n.Complete)
	require.Equal(t, []store.Item{six}, n.Items)
	require.EqualValues(t, 6, n.Revision)
	n = firstNews(t, r, 3)
	require.True(t, n.Complete, "the changes after 3 are not all kept")
	require.Len(t, n.Items, 2)
}

// TestFollowerThatIsAheadIsNotTakenBack: it watched the store itself until now.
func TestFollowerThatIsAheadIsNotTakenBack(t *testing.T) {
	n := firstNews(t, relayAt(6, 4, store.Item{Key: "a", Revision: 6}), 9)
	require.False(t, n.Complete)
	require.Empty(t, n.Items)
	require.EqualValues(t, 9, n.Revision)
}

// TestHostKeepsItsFollowersAsItChangesItsOwnWay: the second relay of a zone goes
// back to the first while the store still turns this host away.
func TestHostKeepsItsFollowersAsItChangesItsOwnWay(t *testing.T) {
	r := relayAt(6, 4, store.Item{Key: "a", Revision: 6})
	r.direct, r.away = false, true
	require.Len(t, firstNews(t, r, 5).Items, 1)
}

// TestRelayThatDoesNotHearTheStoreSaysSo: its followers may reach it.
func TestRelayThatDoesNotHearTheStoreSaysSo(t *testing.T) {
	for _, harm := range []func(r *Registry){
		func(r *Registry) { r.away = true },
		func(r *Registry) { r.direct = false; r.heardAt -= 10 * r.wait },
		func(r *Registry) { r.listed = false },
		func(r *Registry) { r.heardAt -= 10 * r.wait },
	} {
		r := relayAt(6, 4)
		harm(r)
		require.ErrorIs(t, r.Tell(context.Background(), 6, nil), errNotFollowing)
	}
}

// TestFollowersHearWhatTheirRelayKnewAlready replays the return of a store that was
// away while the members' entries lapsed. The relay has heard from another host
// that a member is back before its own watch tells that its entry was lost and is
// back. Its followers heard nothing from that host: told of the loss alone, they
// took a living member for gone.
func TestFollowersHearWhatTheirRelayKnewAlready(t *testing.T) {
	relay, _ := countingRegistry()
	follower, _ := countingRegistry()
	back := livingItem("m", 9, 30, 500)
	relay.applyRelayed(listing(9, back), "another host")
	relay.apply(listing(9, store.Item{Key: back.Key, Revision: 8, Deleted: true}, back))

	follower.takeNews(firstNews(t, relay, 1))
	for name, r := range map[string]*Registry{"relay": relay, "follower": follower} {
		members := r.Groups()["svc"]
		require.Len(t, members, 1, name)
		require.False(t, members[0].Missing, name)
		follower.direct = false
		l, follows := follower.heard()
		require.True(t, follows)
		require.Len(t, l.Items, 1, "what a follower lists again holds the entry")
	}
}

// inEpoch returns a position of an epoch.
func inEpoch(t *testing.T, epoch store.Epoch, number uint64) store.Revision {
	t.Helper()
	r, err := store.NewRevision(epoch, number)
	require.NoError(t, err)
	return r
}

// TestFollowerOfAnOlderEpochIsToldEverything: its number may be the higher one.
func TestFollowerOfAnOlderEpochIsToldEverything(t *testing.T) {
	r := relayAt(inEpoch(t, 2, 20), inEpoch(t, 2, 20), store.Item{Key: "a", Revision: inEpoch(t, 2, 20)})
	n := firstNews(t, r, inEpoch(t, 1, 300))
	require.True(t, n.Complete)
	require.Len(t, n.Items, 1)
}

// TestRelayOfAnOlderEpochListsTheStore: its follower knows that the store has
// returned from a copy, and the relay's own watch may wait for seconds.
func TestRelayOfAnOlderEpochListsTheStore(t *testing.T) {
	r := relayAt(inEpoch(t, 1, 300), inEpoch(t, 1, 200))
	interrupted := false
	r.interrupt = func() { interrupted = true }
	require.ErrorIs(t, r.Tell(context.Background(), inEpoch(t, 2, 20), nil), errOlderEpoch)
	require.False(t, r.listed)
	require.True(t, interrupted)
}

// TestAnswerOfAnOlderEpochIsDropped: it was on its way while the store returned from
// a copy.
func TestAnswerOfAnOlderEpochIsDropped(t *testing.T) {
	r, _ := testRegistry()
	require.NoError(t, r.replace(listing(inEpoch(t, 2, 20), livingItem("m", inEpoch(t, 2, 20), 3, 500))))
	require.ErrorIs(t, r.replace(listing(inEpoch(t, 1, 300))), errOlderEpoch)
	require.Equal(t, inEpoch(t, 2, 20), r.State().Revision)
	require.Len(t, r.Groups()["svc"], 1)
	require.ErrorIs(t, r.takeNews(News{Listing: listing(inEpoch(t, 1, 300)), Complete: true}), errOlderEpoch)
}

// TestStoreWithoutEpochsIsListedAgain: its numbers may go back all the same.
func TestStoreWithoutEpochsIsListedAgain(t *testing.T) {
	r, _ := testRegistry()
	require.NoError(t, r.replace(listing(300)))
	require.NoError(t, r.replace(listing(20)))
	require.EqualValues(t, 20, r.State().Revision)
}
