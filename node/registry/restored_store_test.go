package registry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/relay"
	"github.com/dotterelswitch/dotterelswitch/core/roster"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/platform"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

const (
	// eventually bounds waits for something that must come.
	eventually = 20 * time.Second
	poll       = 5 * time.Millisecond
	// callTime bounds one call to the stand-in store.
	callTime = time.Second
	// fleetEpoch is the epoch of the stand-in store before it is restored.
	fleetEpoch = 1
)

// runAgainst runs the registry of a host against the stand-in store until the test
// ends. Follow is nil for a host that follows nobody.
func runAgainst(t *testing.T, p *lineplatform.Platform, self gates.Host, follow FollowFunc) *Registry {
	t.Helper()
	r := New(Config{
		Store:     platform.NewStoreClient(p.Address(), http.DefaultClient, callTime),
		Documents: platform.Documents{}, Self: self, FollowHost: follow, Changed: func() {}, Log: zerolog.New(zerolog.NewTestWriter(t)),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return r
}

// registerFleet writes enough hosts of one zone for a relay, and returns them.
func registerFleet(p *lineplatform.Platform) []gates.Host {
	var fleet []gates.Host
	for n := range relay.MaxFleetWithoutRelays + 2 {
		h := gates.Host{Name: fmt.Sprintf("host-%d", n), Zone: "a", Address: "unused"}
		p.Store.Put(hostKey(h.Name), encodeRegistration(roster.Registration{Host: h, Epoch: fleetEpoch}))
		fleet = append(fleet, h)
	}
	return fleet
}

// relayAndFollower picks the host of a fleet that watches the store, and one that
// follows it.
func relayAndFollower(t *testing.T, fleet []gates.Host) (relayed, follower gates.Host) {
	t.Helper()
	i := slices.IndexFunc(fleet, func(h gates.Host) bool {
		_, follows := relay.New(h).Pick(fleet, 0)
		return !follows
	})
	require.GreaterOrEqual(t, i, 0)
	return fleet[i], fleet[(i+1)%len(fleet)]
}

// churn has the store's revision rise.
func churn(p *lineplatform.Platform, changes int) {
	for n := range changes {
		p.Store.Put("op/unrelated", fmt.Append(nil, n))
	}
}

// knows waits until a host runs on a version of the configuration.
func knows(t *testing.T, name string, r *Registry, version uint64) {
	t.Helper()
	require.Eventually(t, func() bool { c := r.Catalog(); return c != nil && c.Version == version }, eventually, poll, name)
}

// TestFollowersHearOfChangesAfterTheStoreWentBack: the revisions of a store that
// comes back from an older copy are lower than what followers have heard of.
func TestFollowersHearOfChangesAfterTheStoreWentBack(t *testing.T) {
	p, err := lineplatform.Start()
	require.NoError(t, err)
	t.Cleanup(p.Close)
	first := p.Configure(nil, time.Second)
	relayed, follower := relayAndFollower(t, registerFleet(p))
	watching := runAgainst(t, p, relayed, func(context.Context, string, store.Revision, func(News)) error {
		return errNotFollowing
	})
	// A relay that has not listed the store yet would be passed over.
	knows(t, "relay", watching, first)
	following := runAgainst(t, p, follower, func(ctx context.Context, _ string, after store.Revision, take func(News)) error {
		return watching.Tell(ctx, after, func(n News) error {
			take(n)
			return nil
		})
	})
	knows(t, "follower", following, first)
	older := p.Store.Copy()
	churn(p, 300)
	require.Eventually(t, func() bool {
		return following.State().Relay == relayed.Name && following.State().Revision.Number() >= older.Revision()+300
	}, eventually, poll, "the follower has heard of everything through its relay")

	p.Store.Restore(older)
	changed := p.Configure(nil, time.Second)
	knows(t, "relay", watching, changed)
	knows(t, "follower", following, changed)
}

// configured returns the item of a configuration.
func configured(t *testing.T, epoch store.Epoch, number, version uint64) store.Item {
	t.Helper()
	return store.Item{Key: platform.KeyConfig, Revision: inEpoch(t, epoch, number), Value: fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[]}`, version)}
}

// TestConfigurationOfACopyIsNotPassedOn: a follower that starts would run on the
// older version.
func TestConfigurationOfACopyIsNotPassedOn(t *testing.T) {
	for name, inCopy := range map[string][]store.Item{"older": {configured(t, 2, 40, 20)}, "missing": nil} {
		r, _ := testRegistry()
		require.NoError(t, r.replace(listing(inEpoch(t, 1, 300), configured(t, 1, 290, 23))))
		require.NoError(t, r.replace(listing(inEpoch(t, 2, 50), inCopy...)))
		require.EqualValues(t, 23, r.Catalog().Version, name)
		follower, _ := testRegistry()
		require.NoError(t, follower.takeNews(firstNews(t, r, 0)))
		require.EqualValues(t, 23, follower.Catalog().Version, name)
		cutOff, _ := testRegistry()
		cutOff.applyRelayed(r.Listing(inEpoch(t, 1, 300)), "another host")
		require.EqualValues(t, 23, cutOff.Catalog().Version, name)
		r.apply(listing(inEpoch(t, 2, 60), configured(t, 2, 60, 21)))
		require.EqualValues(t, 23, r.Catalog().Version, name)
		require.NoError(t, follower.takeNews(firstNews(t, r, inEpoch(t, 2, 50))))
		late, _ := testRegistry()
		require.NoError(t, late.takeNews(firstNews(t, r, 0)))
		require.EqualValues(t, 23, late.Catalog().Version, name)
	}
}

// startingBeside returns the registry of a host that starts beside others, which
// answer with a configuration.
func startingBeside(answer func(ctx context.Context, address string, above uint64) ([]byte, error)) *Registry {
	return New(Config{
		Store: &wakingStore{fails: errors.New("unavailable")}, Documents: platform.Documents{}, Self: gates.Host{Name: "self"},
		AskConfig: answer, Changed: func() {}, Log: zerolog.Nop(),
	})
}

// TestHostThatStartsBesideACopyAsksTheOthers: the store's configuration is older than
// the one that they run on.
func TestHostThatStartsBesideACopyAsksTheOthers(t *testing.T) {
	other := func(epoch store.Epoch, version uint64) store.Item {
		reg := roster.Registration{Host: gates.Host{Name: "h1", Zone: "a", Address: "there"}, Epoch: epoch, ConfigVersion: version}
		return store.Item{Key: hostKey("h1"), Revision: inEpoch(t, 2, 30), Value: encodeRegistration(reg)}
	}
	for name, registration := range map[string]store.Item{"registered again": other(2, 23), "not yet": other(1, 0)} {
		r := startingBeside(func(_ context.Context, address string, above uint64) ([]byte, error) {
			require.Equal(t, "there", address)
			require.EqualValues(t, 20, above)
			return configured(t, 0, 0, 23).Value, nil
		})
		require.NoError(t, r.replace(listing(inEpoch(t, 2, 50), configured(t, 2, 40, 20), registration)))
		require.Eventually(t, func() bool { return r.Catalog() != nil }, eventually, poll, name)
		require.EqualValues(t, 23, r.Catalog().Version, name)
	}
}

// TestHostThatStartsServesThoughNobodyAnswers: all others may be lost.
func TestHostThatStartsServesThoughNobodyAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startingBeside(func(ctx context.Context, _ string, _ uint64) ([]byte, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		lost := store.Item{Key: hostKey("h1"), Revision: inEpoch(t, 2, 30), Value: encodeRegistration(roster.Registration{Host: gates.Host{Zone: "a", Address: "there"}, Epoch: 1})}
		require.NoError(t, r.replace(listing(inEpoch(t, 2, 50), configured(t, 2, 40, 20), lost)))
		require.Nil(t, r.Catalog())
		time.Sleep(askConfigTime + time.Millisecond)
		synctest.Wait()
		require.EqualValues(t, 20, r.Catalog().Version)
	})
}

// TestHostThatStartsBesideAWholeStoreAsksNobody: it would serve later for nothing.
func TestHostThatStartsBesideAWholeStoreAsksNobody(t *testing.T) {
	r := startingBeside(func(context.Context, string, uint64) ([]byte, error) {
		t.Error("a host was asked")
		return nil, errors.New("not asked")
	})
	reg := roster.Registration{Host: gates.Host{Name: "h1"}, Epoch: 2, ConfigVersion: 20}
	require.NoError(t, r.replace(listing(inEpoch(t, 2, 50), configured(t, 2, 40, 20),
		store.Item{Key: hostKey("h1"), Revision: inEpoch(t, 2, 30), Value: encodeRegistration(reg)})))
	require.EqualValues(t, 20, r.Catalog().Version)
}

// TestReportOfACopyDoesNotCount: it may have been taken back since, and would help to
// replace a primary that lives.
func TestReportOfACopyDoesNotCount(t *testing.T) {
	r, _ := testRegistry()
	report := func(epoch, held store.Epoch, number uint64) store.Item {
		return store.Item{Key: suspectKey("svc", "m", "h1"), Revision: inEpoch(t, held, number), Value: encodeReport(epoch)}
	}
	require.NoError(t, r.replace(listing(inEpoch(t, 1, 90), report(1, 1, 80))))
	require.Equal(t, []string{"h1"}, r.Suspecting("svc", "m"))
	require.NoError(t, r.replace(listing(inEpoch(t, 2, 81), report(1, 2, 80))))
	require.Empty(t, r.Suspecting("svc", "m"))
	r.apply(listing(inEpoch(t, 2, 82), report(2, 2, 82)))
	require.Equal(t, []string{"h1"}, r.Suspecting("svc", "m"))
	r.apply(listing(inEpoch(t, 2, 83), report(1, 2, 83)))
	require.Empty(t, r.Suspecting("svc", "m"), "a late write")
}

// present runs the registry of a host that stays registered until the test ends.
func present(t *testing.T, p *lineplatform.Platform, name string) *Registry {
	t.Helper()
	r := runAgainst(t, p, gates.Host{Name: name, Zone: "a", Address: "unused"}, nil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.KeepPresence(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return r
}

// TestHostRegistersAgainAfterARestore: its lease is gone, and the number of it may be
// another host's.
func TestHostRegistersAgainAfterARestore(t *testing.T) {
	p, err := lineplatform.Start()
	require.NoError(t, err)
	t.Cleanup(p.Close)
	empty := p.Store.Copy()
	hosts := []*Registry{present(t, p, "h1"), present(t, p, "h2"), present(t, p, "h3")}
	all := []string{"h1", "h2", "h3"}
	for _, r := range hosts {
		require.Eventually(t, func() bool { return slices.Equal(all, r.Hosts()) }, eventually, poll)
	}
	p.Store.Restore(empty)
	registered := func() bool { return len(p.Store.Keys(hostPrefix)) == len(all) }
	for began := time.Now(); !registered(); {
		require.Less(t, time.Since(began), eventually)
		for _, r := range hosts {
			require.Equal(t, all, r.Hosts(), "nobody is missed while the hosts register again")
		}
		time.Sleep(poll)
	}
	for _, r := range hosts {
		require.Eventually(t, func() bool {
			lease := r.currentLease()
			return lease.Epoch == store.Epoch(p.Store.Era()) && r.registered()
		}, eventually, poll)
	}
	time.Sleep(renewEvery + leaseTTL)
	require.True(t, registered(), "each lease is renewed by its own host")
}

// TestHostThatACopyLacksDoesNotWaitForItsRenewal: hosts that start would not know of
// it for as long.
func TestHostThatACopyLacksDoesNotWaitForItsRenewal(t *testing.T) {
	p, err := lineplatform.Start()
	require.NoError(t, err)
	t.Cleanup(p.Close)
	empty := p.Store.Copy()
	r := present(t, p, "h1")
	require.Eventually(t, r.registered, eventually, poll)
	registered := time.Now()
	p.Store.Restore(empty)
	require.Eventually(t, func() bool { return len(p.Store.Keys(hostPrefix)) == 1 }, eventually, poll)
	require.Less(t, time.Since(registered), renewEvery, "its next renewal")
}

// TestLocksOfACopyAreNobodysToken: a token that is made after a restore is above all
// before it, and the copy's lock gives none.
func TestLocksOfACopyAreNobodysToken(t *testing.T) {
	p, err := lineplatform.Start()
	require.NoError(t, err)
	t.Cleanup(p.Close)
	a, b := present(t, p, "h1"), present(t, p, "h2")
	for _, r := range []*Registry{a, b} {
		require.Eventually(t, r.registered, eventually, poll)
	}
	take := func(r *Registry) uint64 {
		var token uint64
		require.Eventually(t, func() bool {
			var err error
			token, err = r.TakeLock(context.Background(), "svc", r.LockOf("svc"))
			return err == nil
		}, eventually, poll)
		return token
	}
	first := take(a)
	older := p.Store.Copy()
	churn(p, 50)
	second := take(b)
	require.Greater(t, second, first)
	p.Store.Restore(older)
	require.Eventually(t, func() bool { return a.Epoch() == 2 && b.Epoch() == 2 }, eventually, poll)
	require.Equal(t, "h1", a.LockOf("svc").Holder)
	require.NotEqual(t, first, a.LockOf("svc").Token())
	require.NotEqual(t, second, a.LockOf("svc").Token())
	require.Greater(t, take(a), second)
}

// TestStoppingHostEndsNoOthersLease: the number of its lease was granted again after
// the store returned from a copy.
func TestStoppingHostEndsNoOthersLease(t *testing.T) {
	p, err := lineplatform.Start()
	require.NoError(t, err)
	t.Cleanup(p.Close)
	empty := p.Store.Copy()
	stopping := runAgainst(t, p, gates.Host{Name: "h1", Zone: "a", Address: "unused"}, nil)
	require.NoError(t, stopping.register(t.Context()))
	p.Store.Restore(empty)
	require.Eventually(t, func() bool { return stopping.Epoch() == 2 }, eventually, poll)
	other := runAgainst(t, p, gates.Host{Name: "h2", Zone: "a", Address: "unused"}, nil)
	require.NoError(t, other.register(t.Context()))
	require.Equal(t, stopping.currentLease().ID, other.currentLease().ID, "the pattern: one number for two leases")
	require.NoError(t, stopping.Leave(t.Context()))
	require.Equal(t, []string{hostKey("h2")}, p.Store.Keys(hostPrefix))
}
