package registry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/peerpoll"
	"github.com/dotterelswitch/dotterelswitch/core/roster"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/core/storelink"
	"github.com/dotterelswitch/dotterelswitch/platform"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
	"github.com/dotterelswitch/dotterelswitch/standin/simtime"
)

// TestFollowersReceiveChangesAfterRestore guards against followers that ignore changes of
// a restored store because their numbers are lower than those before the restore.
func TestFollowersReceiveChangesAfterRestore(t *testing.T) {
	p, err := lineplatform.Start()
	require.NoError(t, err)
	t.Cleanup(p.Close)
	first := p.Configure(nil, time.Second)
	relayHost, follower := relayAndFollower(t, registerFleet(p))
	watching := runRegistry(t, p, relayHost, func(context.Context, string, store.Revision, bool, func(Update)) error {
		return errNoStoreContact
	})
	// A follower skips a relay that has not listed the store yet.
	requireConfigVersion(t, "relay", watching, first)
	following := runRegistry(t, p, follower, func(ctx context.Context, _ string, after store.Revision, changesOnly bool, apply func(Update)) error {
		return watching.StreamUpdates(ctx, after, changesOnly, func(u Update) error {
			apply(u)
			return nil
		})
	})
	requireConfigVersion(t, "follower", following, first)
	backup := p.Store.Backup()
	writeUnrelatedKeys(p, 300)
	require.Eventually(t, func() bool {
		return following.State().Relay == relayHost.Name && following.State().Revision.Number() >= backup.Revision()+300
	}, waitTimeout, pollInterval, "the follower receives all changes through its relay")

	p.Store.Restore(backup)
	changed := p.Configure(nil, time.Second)
	requireConfigVersion(t, "relay", watching, changed)
	requireConfigVersion(t, "follower", following, changed)
}

// configItem returns the store item of a configuration.
func configItem(t *testing.T, epoch store.Epoch, number, version uint64) store.Item {
	t.Helper()
	return store.Item{Key: platform.KeyConfig, Revision: revisionInEpoch(t, epoch, number), Value: fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[]}`, version)}
}

// TestOlderRestoredConfigurationIsNotPropagated guards against starting followers that
// activate the older configuration of a restored store.
func TestOlderRestoredConfigurationIsNotPropagated(t *testing.T) {
	for name, restored := range map[string][]store.Item{"older": {configItem(t, 2, 40, 20)}, "missing": nil} {
		r, _ := newRegistryWithFailingStore()
		require.NoError(t, r.replace(listing(revisionInEpoch(t, 1, 300), configItem(t, 1, 290, 23))))
		require.NoError(t, r.replace(listing(revisionInEpoch(t, 2, 50), restored...)))
		require.EqualValues(t, 23, r.Catalog().Version, name)
		follower, _ := newRegistryWithFailingStore()
		require.NoError(t, follower.applyUpdate(firstUpdate(t, r, 0)))
		require.EqualValues(t, 23, follower.Catalog().Version, name)
		isolated, _ := newRegistryWithFailingStore()
		isolated.applyPeerListing(r.Listing(revisionInEpoch(t, 1, 300)), "another host")
		require.EqualValues(t, 23, isolated.Catalog().Version, name)
		r.apply(listing(revisionInEpoch(t, 2, 60), configItem(t, 2, 60, 21)))
		require.EqualValues(t, 23, r.Catalog().Version, name)
		require.NoError(t, follower.applyUpdate(firstUpdate(t, r, revisionInEpoch(t, 2, 50))))
		lateFollower, _ := newRegistryWithFailingStore()
		require.NoError(t, lateFollower.applyUpdate(firstUpdate(t, r, 0)))
		require.EqualValues(t, 23, lateFollower.Catalog().Version, name)
	}
}

// newRegistryWithPeers returns the registry of a starting host whose peers answer
// configuration requests with fetch.
func newRegistryWithPeers(fetch func(ctx context.Context, address string, above uint64) ([]byte, error)) *Registry {
	return New(Config{
		Store: &unresponsiveStore{err: errors.New("unavailable")}, Documents: platform.Documents{}, Self: gates.Host{Name: "self"},
		FetchConfig: fetch, Changed: func() {}, Log: zerolog.Nop(),
	})
}

// TestStartingHostFetchesNewerConfigurationFromPeers covers a restored store whose
// configuration is older than that of the running hosts.
func TestStartingHostFetchesNewerConfigurationFromPeers(t *testing.T) {
	other := func(epoch store.Epoch, version uint64) store.Item {
		reg := roster.Registration{Host: gates.Host{Name: "h1", Zone: "a", Address: "there"}, Epoch: epoch, ConfigVersion: version}
		return store.Item{Key: hostKey("h1"), Revision: revisionInEpoch(t, 2, 30), Value: encodeRegistration(reg)}
	}
	for name, registration := range map[string]store.Item{"peer has registered again": other(2, 23), "peer has not registered again": other(1, 0)} {
		r := newRegistryWithPeers(func(_ context.Context, address string, above uint64) ([]byte, error) {
			require.Equal(t, "there", address)
			require.EqualValues(t, 20, above)
			return configItem(t, 0, 0, 23).Value, nil
		})
		require.NoError(t, r.replace(listing(revisionInEpoch(t, 2, 50), configItem(t, 2, 40, 20), registration)))
		require.Eventually(t, func() bool { return r.Catalog() != nil }, waitTimeout, pollInterval, name)
		require.EqualValues(t, 23, r.Catalog().Version, name)
	}
}

// TestStartingHostUsesStoredConfigurationWithoutPeerAnswers: all other hosts may be down.
func TestStartingHostUsesStoredConfigurationWithoutPeerAnswers(t *testing.T) {
	simtime.Test(t, func(t *testing.T) {
		r := newRegistryWithPeers(func(ctx context.Context, _ string, _ uint64) ([]byte, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		lost := store.Item{Key: hostKey("h1"), Revision: revisionInEpoch(t, 2, 30), Value: encodeRegistration(roster.Registration{Host: gates.Host{Zone: "a", Address: "there"}, Epoch: 1})}
		require.NoError(t, r.replace(listing(revisionInEpoch(t, 2, 50), configItem(t, 2, 40, 20), lost)))
		require.Nil(t, r.Catalog())
		time.Sleep(fetchConfigTimeout + time.Millisecond)
		synctest.Wait()
		require.EqualValues(t, 20, r.Catalog().Version)
	})
}

// TestStartingHostDoesNotAskPeersWhenStoreIsCurrent guards against a needless delay.
func TestStartingHostDoesNotAskPeersWhenStoreIsCurrent(t *testing.T) {
	r := newRegistryWithPeers(func(context.Context, string, uint64) ([]byte, error) {
		t.Error("a host was asked")
		return nil, errors.New("not asked")
	})
	reg := roster.Registration{Host: gates.Host{Name: "h1"}, Epoch: 2, ConfigVersion: 20}
	require.NoError(t, r.replace(listing(revisionInEpoch(t, 2, 50), configItem(t, 2, 40, 20),
		store.Item{Key: hostKey("h1"), Revision: revisionInEpoch(t, 2, 30), Value: encodeRegistration(reg)})))
	require.EqualValues(t, 20, r.Catalog().Version)
}

// TestSuspicionFromOlderEpochIsIgnored guards against the replacement of a live primary
// because of a suspicion that was withdrawn before the restore.
func TestSuspicionFromOlderEpochIsIgnored(t *testing.T) {
	r, _ := newRegistryWithFailingStore()
	suspicion := func(epoch, storeEpoch store.Epoch, number uint64) store.Item {
		return store.Item{Key: suspicionKey("svc", "m", "h1"), Revision: revisionInEpoch(t, storeEpoch, number), Value: encodeSuspicion(epoch)}
	}
	require.NoError(t, r.replace(listing(revisionInEpoch(t, 1, 90), suspicion(1, 1, 80))))
	require.Equal(t, []string{"h1"}, r.HostsReportingDead("svc", "m"))
	require.NoError(t, r.replace(listing(revisionInEpoch(t, 2, 81), suspicion(1, 2, 80))))
	require.Empty(t, r.HostsReportingDead("svc", "m"))
	r.apply(listing(revisionInEpoch(t, 2, 82), suspicion(2, 2, 82)))
	require.Equal(t, []string{"h1"}, r.HostsReportingDead("svc", "m"))
	r.apply(listing(revisionInEpoch(t, 2, 83), suspicion(1, 2, 83)))
	require.Empty(t, r.HostsReportingDead("svc", "m"), "a delayed write from before the restore")
}

// runRegistered runs the registry of a host that stays registered until the test ends.
func runRegistered(t *testing.T, p *lineplatform.Platform, name string) *Registry {
	t.Helper()
	r := runRegistry(t, p, gates.Host{Name: name, Zone: "a", Address: "unused"}, nil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.KeepRegistered(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return r
}

// TestHostReregistersAfterRestore also checks that no host renews the lease of another
// one, since the restored store grants the same lease IDs again.
func TestHostReregistersAfterRestore(t *testing.T) {
	p, err := lineplatform.Start()
	require.NoError(t, err)
	t.Cleanup(p.Close)
	empty := p.Store.Backup()
	hosts := []*Registry{runRegistered(t, p, "h1"), runRegistered(t, p, "h2"), runRegistered(t, p, "h3")}
	all := []string{"h1", "h2", "h3"}
	for _, r := range hosts {
		require.Eventually(t, func() bool { return slices.Equal(all, r.Hosts()) }, waitTimeout, pollInterval)
	}
	p.Store.Restore(empty)
	registered := func() bool { return len(p.Store.Keys(hostPrefix)) == len(all) }
	for start := time.Now(); !registered(); {
		require.Less(t, time.Since(start), waitTimeout)
		for _, r := range hosts {
			require.Equal(t, all, r.Hosts(), "all hosts stay in the roster while they register again")
		}
		time.Sleep(pollInterval)
	}
	for _, r := range hosts {
		require.Eventually(t, func() bool {
			lease := r.currentLease()
			return lease.Epoch == store.Epoch(p.Store.Epoch()) && r.registered()
		}, waitTimeout, pollInterval)
	}
	time.Sleep(renewInterval + leaseTTL)
	require.True(t, registered(), "each lease is renewed by its own host")
}

// TestHostMissingAfterRestoreReregistersBeforeRenewal: hosts that start after the restore
// do not know it until then.
func TestHostMissingAfterRestoreReregistersBeforeRenewal(t *testing.T) {
	p, err := lineplatform.Start()
	require.NoError(t, err)
	t.Cleanup(p.Close)
	empty := p.Store.Backup()
	r := runRegistered(t, p, "h1")
	require.Eventually(t, r.registered, waitTimeout, pollInterval)
	registered := time.Now()
	p.Store.Restore(empty)
	require.Eventually(t, func() bool { return len(p.Store.Keys(hostPrefix)) == 1 }, waitTimeout, pollInterval)
	require.Less(t, time.Since(registered), renewInterval/2, "registered before the earliest next renewal")
}

// TestRestoredLockHasNewFencingToken checks that the lock in a restored store has neither
// fencing token from before the restore, and that later tokens are higher.
func TestRestoredLockHasNewFencingToken(t *testing.T) {
	p, err := lineplatform.Start()
	require.NoError(t, err)
	t.Cleanup(p.Close)
	a, b := runRegistered(t, p, "h1"), runRegistered(t, p, "h2")
	for _, r := range []*Registry{a, b} {
		require.Eventually(t, r.registered, waitTimeout, pollInterval)
	}
	takeLock := func(r *Registry) uint64 {
		var token uint64
		require.Eventually(t, func() bool {
			var err error
			token, err = r.TakeLock(context.Background(), "svc", r.LockOf("svc"))
			return err == nil
		}, waitTimeout, pollInterval)
		return token
	}
	first := takeLock(a)
	backup := p.Store.Backup()
	writeUnrelatedKeys(p, 50)
	second := takeLock(b)
	require.Greater(t, second, first)
	p.Store.Restore(backup)
	require.Eventually(t, func() bool { return a.Epoch() == 2 && b.Epoch() == 2 }, waitTimeout, pollInterval)
	require.Equal(t, "h1", a.LockOf("svc").Holder)
	require.NotEqual(t, first, a.LockOf("svc").Token())
	require.NotEqual(t, second, a.LockOf("svc").Token())
	require.Greater(t, takeLock(a), second)
}

// TestStoppingHostDoesNotEndLeaseOfAnotherHost covers a lease ID that the store granted
// again after a restore.
func TestStoppingHostDoesNotEndLeaseOfAnotherHost(t *testing.T) {
	p, err := lineplatform.Start()
	require.NoError(t, err)
	t.Cleanup(p.Close)
	empty := p.Store.Backup()
	stopping := runRegistry(t, p, gates.Host{Name: "h1", Zone: "a", Address: "unused"}, nil)
	require.NoError(t, stopping.register(t.Context()))
	p.Store.Restore(empty)
	require.Eventually(t, func() bool { return stopping.Epoch() == 2 }, waitTimeout, pollInterval)
	other := runRegistry(t, p, gates.Host{Name: "h2", Zone: "a", Address: "unused"}, nil)
	require.NoError(t, other.register(t.Context()))
	require.Equal(t, stopping.currentLease().ID, other.currentLease().ID, "the store grants the same lease ID again")
	require.NoError(t, stopping.Deregister(t.Context()))
	require.Equal(t, []string{hostKey("h2")}, p.Store.Keys(hostPrefix))
}

// TestSnapshotHasTheActiveConfiguration guards against starting hosts that are sent the
// older configuration of a restored store by a host that has a newer one from a peer.
func TestSnapshotHasTheActiveConfiguration(t *testing.T) {
	document := func(version int) []byte {
		return fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[]}`, version)
	}
	r := New(Config{
		Documents: platform.Documents{}, Self: gates.Host{Name: "h1"}, Changed: func() {}, Log: zerolog.Nop(),
		FetchConfig: func(context.Context, string, uint64) ([]byte, error) { return document(4), nil },
	})
	require.NoError(t, r.replace(store.Listing{Revision: 10, Items: []store.Item{{Key: platform.KeyConfig, Revision: 5, Value: document(2)}}}))
	r.fetchConfigFrom(t.Context(), gates.Host{Name: "h2"}, 2)
	l, err := r.Snapshot()
	require.NoError(t, err)
	require.Equal(t, []store.Item{{Key: platform.KeyConfig, Revision: 5, Value: document(4)}}, l.Items)
}

// TestRunningHostAsksWhenAnotherRegistersWithNewerConfiguration guards against a host that
// has started beside a restored store, when no other host had registered anew, and keeps
// the store's older configuration.
func TestRunningHostAsksWhenAnotherRegistersWithNewerConfiguration(t *testing.T) {
	simtime.Test(t, func(t *testing.T) {
		document := func(version int) []byte {
			return fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[]}`, version)
		}
		r := New(Config{
			Documents: platform.Documents{}, Self: gates.Host{Name: "h1"}, Changed: func() {}, Log: zerolog.Nop(),
			FetchConfig: func(_ context.Context, address string, above uint64) ([]byte, error) {
				require.Equal(t, "h2", address)
				require.EqualValues(t, 2, above)
				return document(9), nil
			},
			Now: simulatedNow(),
		})
		require.NoError(t, r.replace(store.Listing{Revision: 10, Items: []store.Item{{Key: platform.KeyConfig, Revision: 5, Value: document(2)}}}))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		asked := 0
		go r.PollPeers(ctx, func(context.Context, string) (*peerpoll.Progress, error) {
			asked++
			return &peerpoll.Progress{ConfigVersion: 9}, nil
		}, nil)
		time.Sleep(storelink.PollInterval + time.Millisecond)
		require.Zero(t, asked, "the store answers and nobody has a newer version")
		other := encodeRegistration(roster.Registration{Host: gates.Host{Name: "h2", Zone: "a", Address: "h2"}, ConfigVersion: 9})
		r.apply(store.Listing{Revision: 11, Items: []store.Item{{Key: hostKey("h2"), Value: other, Revision: 11}}})
		time.Sleep(storelink.PollInterval)
		require.EqualValues(t, 9, r.Catalog().Version)
		require.Equal(t, 1, asked)
	})
}

// simulatedNow returns a clock of simulated time that is never zero.
func simulatedNow() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return simulatedStart + time.Since(start) }
}
