package registry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/roster"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/platform"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

// relayAt returns the registry of a relay at a revision that keeps the changes after
// historyStart.
func relayAt(revision, historyStart store.Revision, changes ...store.Item) *Registry {
	r := New(Config{Documents: platform.Documents{}, Self: gates.Host{Name: "relay"}, Changed: func() {}, Log: zerolog.Nop()})
	r.link.Listed(clock.Now(), 0)
	r.revision, r.historyStart, r.history = revision, historyStart, changes
	for _, i := range changes {
		r.cacheItem(i)
	}
	return r
}

var errStop = errors.New("stop")

// firstUpdate returns the first update that a follower at a revision receives.
func firstUpdate(t *testing.T, r *Registry, after store.Revision) Update {
	t.Helper()
	var first Update
	err := r.StreamUpdates(context.Background(), after, false, func(u Update) error {
		first = u
		return errStop
	})
	require.ErrorIs(t, err, errStop)
	return first
}

func TestFollowerReceivesMissedChanges(t *testing.T) {
	five, six := store.Item{Key: "a", Revision: 5}, store.Item{Key: "b", Revision: 6}
	r := relayAt(6, 4, five, six)
	u := firstUpdate(t, r, 5)
	require.False(t, u.Complete)
	require.Equal(t, []store.Item{six}, u.Items)
	require.EqualValues(t, 6, u.Revision)
	u = firstUpdate(t, r, 3)
	require.True(t, u.Complete, "not all changes after revision 3 are kept")
	require.Len(t, u.Items, 2)
}

// TestFollowerAheadOfRelayKeepsItsRevision: a follower that watched the store itself
// until now may have a newer revision than its relay.
func TestFollowerAheadOfRelayKeepsItsRevision(t *testing.T) {
	u := firstUpdate(t, relayAt(6, 4, store.Item{Key: "a", Revision: 6}), 9)
	require.False(t, u.Complete)
	require.Empty(t, u.Items)
	require.EqualValues(t, 9, u.Revision)
}

// TestFollowersAreKeptWhenHostSwitchesToRelay covers a relay that follows another relay
// while the store still refuses its own calls.
func TestFollowersAreKeptWhenHostSwitchesToRelay(t *testing.T) {
	r := relayAt(6, 4, store.Item{Key: "a", Revision: 6})
	r.link.Follow("another relay")
	r.link.Failed(clock.Now())
	require.Len(t, firstUpdate(t, r, 5).Items, 1)
}

// TestRelayWithoutStoreContactRefusesFollowers: the followers may reach the store
// themselves.
func TestRelayWithoutStoreContactRefusesFollowers(t *testing.T) {
	for _, loseContact := range []func(r *Registry){
		func(r *Registry) { r.link.Failed(clock.Now()) },
		func(r *Registry) { r.link.Follow("another relay"); letAnswersAge(r) },
		func(r *Registry) { r.link.HistoryLost() },
		letAnswersAge,
	} {
		r := relayAt(6, 4)
		loseContact(r)
		require.ErrorIs(t, r.StreamUpdates(context.Background(), 6, false, nil), errNoStoreContact)
	}
}

// letAnswersAge lets the time pass in which followers accept the host's last answer.
func letAnswersAge(r *Registry) {
	now := r.now
	r.now = func() time.Duration { return now() + 10*r.pacing.WatchWait }
}

// TestFollowersReceiveChangesThatRelayLearnedFromPeers guards against followers that
// consider a live member missing. The relay learned the rewritten entry from a peer
// before its own watch returned the deletion and the entry; it must send both.
func TestFollowersReceiveChangesThatRelayLearnedFromPeers(t *testing.T) {
	relay, _ := registryWithChangeCount()
	follower, _ := registryWithChangeCount()
	rewritten := heartbeatItem("m", 9, 30, 500)
	relay.applyPeerListing(listing(9, rewritten), "another host")
	relay.apply(listing(9, store.Item{Key: rewritten.Key, Revision: 8, Deleted: true}, rewritten))

	follower.applyUpdate(firstUpdate(t, relay, 1))
	for name, r := range map[string]*Registry{"relay": relay, "follower": follower} {
		members := r.MembersOf("svc")
		require.Len(t, members, 1, name)
		require.False(t, members[0].Missing, name)
		follower.link.Follow("relay")
		l, follows := follower.relayedListing()
		require.True(t, follows)
		require.Len(t, l.Items, 1, "the follower's local copy has the entry")
	}
}

// revisionInEpoch returns a revision of an epoch.
func revisionInEpoch(t *testing.T, epoch store.Epoch, number uint64) store.Revision {
	t.Helper()
	r, err := store.NewRevision(epoch, number)
	require.NoError(t, err)
	return r
}

// TestFollowerFromOlderEpochReceivesCompleteListing: the number of its revision may be
// higher than the relay's.
func TestFollowerFromOlderEpochReceivesCompleteListing(t *testing.T) {
	r := relayAt(revisionInEpoch(t, 2, 20), revisionInEpoch(t, 2, 20), store.Item{Key: "a", Revision: revisionInEpoch(t, 2, 20)})
	u := firstUpdate(t, r, revisionInEpoch(t, 1, 300))
	require.True(t, u.Complete)
	require.Len(t, u.Items, 1)
}

// TestRelayInOlderEpochListsStoreAgain checks that a relay which learns of a restore from
// its follower does not wait for the end of its own watch.
func TestRelayInOlderEpochListsStoreAgain(t *testing.T) {
	r := relayAt(revisionInEpoch(t, 1, 300), revisionInEpoch(t, 1, 200))
	interrupted := false
	r.cancelWatch = func() { interrupted = true }
	require.ErrorIs(t, r.StreamUpdates(context.Background(), revisionInEpoch(t, 2, 20), false, nil), errOlderEpoch)
	require.True(t, r.link.RelistDue())
	require.True(t, interrupted)
}

// TestAnswerFromOlderEpochIsDropped covers an answer that was delayed while the store
// was restored.
func TestAnswerFromOlderEpochIsDropped(t *testing.T) {
	r, _ := newRegistryWithFailingStore()
	require.NoError(t, r.replace(listing(revisionInEpoch(t, 2, 20), heartbeatItem("m", revisionInEpoch(t, 2, 20), 3, 500))))
	require.ErrorIs(t, r.replace(listing(revisionInEpoch(t, 1, 300))), errOlderEpoch)
	require.Equal(t, revisionInEpoch(t, 2, 20), r.State().Revision)
	require.Len(t, r.MembersOf("svc"), 1)
	require.ErrorIs(t, r.applyUpdate(Update{Listing: listing(revisionInEpoch(t, 1, 300)), Complete: true}), errOlderEpoch)
}

// TestRevisionMayDecreaseInStoreWithoutEpochs checks that a listing with a lower revision
// is accepted if the store has no epochs.
func TestRevisionMayDecreaseInStoreWithoutEpochs(t *testing.T) {
	r, _ := newRegistryWithFailingStore()
	require.NoError(t, r.replace(listing(300)))
	require.NoError(t, r.replace(listing(20)))
	require.EqualValues(t, 20, r.State().Revision)
}

// TestFollowerThatReachesTheStoreReceivesNoListing guards against a relay of a large zone
// that sends the whole store to each of its followers at once.
func TestFollowerThatReachesTheStoreReceivesNoListing(t *testing.T) {
	r := relayAt(6, 4, store.Item{Key: "a", Revision: 6})
	err := r.StreamUpdates(context.Background(), 3, true, func(Update) error { return errStop })
	require.ErrorIs(t, err, ErrChangesMissing)
}

// TestFollowerFetchesMissingChangesFromTheStore checks that a follower whose relay lacks
// changes asks the store once and then follows the same relay.
func TestFollowerFetchesMissingChangesFromTheStore(t *testing.T) {
	p, err := lineplatform.Start()
	require.NoError(t, err)
	t.Cleanup(p.Close)
	first := p.Configure(nil, time.Second)
	relayHost, follower := relayAndFollower(t, registerFleet(p))
	var mu sync.Mutex
	var followedAt []store.Revision
	following := runRegistry(t, p, follower, func(ctx context.Context, _ string, after store.Revision, changesOnly bool, _ func(Update)) error {
		mu.Lock()
		followedAt = append(followedAt, after)
		attempt := len(followedAt)
		mu.Unlock()
		if attempt == 1 {
			require.True(t, changesOnly)
			writeUnrelatedKeys(p, 5)
			return ErrChangesMissing
		}
		<-ctx.Done()
		return ctx.Err()
	})
	requireConfigVersion(t, "follower", following, first)
	require.Eventually(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(followedAt) == 2
	}, waitTimeout, pollInterval)
	require.EqualValues(t, followedAt[0].Number()+5, followedAt[1].Number(), "the store's changes were read in between")
	require.Equal(t, relayHost.Name, following.State().Relay)
}

// TestFollowersReceiveTheDifferencesOfANewListing guards against complete listings for all
// followers of a relay whose watch was compacted.
func TestFollowersReceiveTheDifferencesOfANewListing(t *testing.T) {
	r, _ := newRegistryWithFailingStore()
	require.NoError(t, r.replace(listing(10, heartbeatItem("kept", 5, 1, 500), heartbeatItem("gone", 6, 1, 500), store.Item{Key: lockKey("svc"), Value: []byte("a"), Revision: 7})))
	require.NoError(t, r.replace(listing(20, heartbeatItem("kept", 15, 2, 500), heartbeatItem("new", 16, 1, 500), store.Item{Key: lockKey("svc"), Value: []byte("b"), Revision: 17})))
	u := firstUpdate(t, r, 10)
	require.False(t, u.Complete)
	var changed []string
	for _, i := range u.Items {
		changed = append(changed, fmt.Sprint(i.Key, " ", i.Revision.Number(), " ", i.Deleted))
	}
	require.Equal(t, []string{
		fmt.Sprint(heartbeatItem("new", 0, 0, 0).Key, " 16 false"), lockKey("svc") + " 17 false", fmt.Sprint(heartbeatItem("gone", 0, 0, 0).Key, " 20 true"),
	}, changed, "a heartbeat is no change")
	require.True(t, firstUpdate(t, r, 9).Complete, "changes before the first listing are unknown")
}

// TestPolledHostSendsChangesOnly guards against polls that carry the entries of all
// members, which each member rewrites every few seconds.
func TestPolledHostSendsChangesOnly(t *testing.T) {
	r, _ := registryWithChangeCount()
	r.apply(listing(5, heartbeatItem("m", 5, 1, 500), heartbeatItem("n", 5, 1, 500)))
	r.apply(listing(6, heartbeatItem("m", 6, 2, 500), heartbeatItem("n", 6, 2, 900)))
	l := r.Listing(5)
	require.EqualValues(t, 6, l.Revision)
	require.Equal(t, []store.Item{heartbeatItem("n", 6, 2, 900)}, l.Items)

	r.resetHistory()
	require.Len(t, r.Listing(5).Items, 2, "without a history it sends all")
}

// TestConfigurationOfStartingRelayIsSentToFollowers guards against a version that no
// follower is ever sent: it arrives while the relay, which has just started, still asks
// others for a newer one than the store had.
func TestConfigurationOfStartingRelayIsSentToFollowers(t *testing.T) {
	asked, release := make(chan struct{}, 1), make(chan struct{})
	r := New(Config{
		Documents: platform.Documents{}, Self: gates.Host{Name: "relay"}, Changed: func() {}, Log: zerolog.Nop(),
		FetchConfig: func(context.Context, string, uint64) ([]byte, error) {
			asked <- struct{}{}
			<-release
			return nil, errStop
		},
	})
	config := func(version uint64, at store.Revision) store.Item {
		return store.Item{Key: platform.KeyConfig, Revision: at, Value: fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[]}`, version)}
	}
	other := encodeRegistration(roster.Registration{Host: gates.Host{Name: "other", Zone: "a", Address: "other"}, ConfigVersion: 9})
	require.NoError(t, r.replace(store.Listing{Revision: 10, Items: []store.Item{config(2, 5), {Key: hostKey("other"), Value: other, Revision: 6}}}))
	<-asked
	r.apply(store.Listing{Revision: 12, Items: []store.Item{config(4, 12)}})
	u := firstUpdate(t, r, 10)
	close(release)
	require.False(t, u.Complete)
	require.Equal(t, []store.Item{config(4, 12)}, u.Items)
}

// TestFollowerKnowsAgeOfItsRelaysData guards against ages that add up along relays: each
// of them counted what it was sent as new.
func TestFollowerKnowsAgeOfItsRelaysData(t *testing.T) {
	const age = 800 * time.Millisecond
	source := relayAt(6, 4, store.Item{Key: "a", Revision: 6})
	start := source.now()
	later := func() time.Duration { return start + age }
	source.now = later
	for _, name := range []string{"relay of the zone", "its follower"} {
		r := New(Config{Documents: platform.Documents{}, Self: gates.Host{Name: name}, Changed: func() {}, Log: zerolog.Nop(), Now: later})
		r.link.Follow("another relay")
		require.NoError(t, r.applyUpdate(firstUpdate(t, source, 0)))
		require.InDelta(t, age, r.link.Age(later()), float64(50*time.Millisecond), name)
		source = r
	}
}
