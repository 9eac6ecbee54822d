package registry

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/roster"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/platform"
)

// wakingStore answers nothing that was asked before it woke.
type wakingStore struct {
	Store
	wakes time.Time
	calls atomic.Int32
	fails error
}

func (s *wakingStore) Range(ctx context.Context, _ string) (store.Listing, error) {
	s.calls.Add(1)
	if s.fails != nil {
		return store.Listing{}, s.fails
	}
	if time.Now().Before(s.wakes) {
		<-ctx.Done()
		return store.Listing{}, ctx.Err()
	}
	return store.Listing{Revision: 7}, nil
}

func startingRegistry(s Store) *Registry {
	return New(Config{Store: s, Documents: platform.Documents{}, Self: gates.Host{Name: "self"}, Changed: func() {}, Log: zerolog.Nop()})
}

// TestHostThatStartsBesideASilentStoreIsThereSoonAfterIt: a call that was made
// while the store was silent is never answered.
func TestHostThatStartsBesideASilentStoreIsThereSoonAfterIt(t *testing.T) {
	s := &wakingStore{wakes: time.Now().Add(400 * time.Millisecond)}
	r := startingRegistry(s)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	require.NoError(t, r.follow(ctx))
	require.Equal(t, int32(3), s.calls.Load())
}

// TestSilentStoreIsNotAskedWithoutEnd: calls that are outstanding are few.
func TestSilentStoreIsNotAskedWithoutEnd(t *testing.T) {
	s := &wakingStore{wakes: time.Now().Add(time.Hour)}
	ctx, cancel := context.WithTimeout(t.Context(), (maxHedged+3)*hedgeAfter)
	defer cancel()
	require.Error(t, startingRegistry(s).follow(ctx))
	require.Equal(t, int32(maxHedged), s.calls.Load())
}

// TestFailureOfTheFirstListingIsPassedOn: the caller spaces the next one.
func TestFailureOfTheFirstListingIsPassedOn(t *testing.T) {
	s := &wakingStore{fails: errors.New("unavailable")}
	require.ErrorIs(t, startingRegistry(s).follow(t.Context()), s.fails)
	require.Equal(t, int32(1), s.calls.Load())
}

// slowListings answers listings late and everything else at once, as a store does
// whose link is full of listings.
type slowListings struct {
	Store
	takes time.Duration
	calls atomic.Int32
}

func (s *slowListings) Range(ctx context.Context, _ string) (store.Listing, error) {
	s.calls.Add(1)
	select {
	case <-time.After(s.takes):
		return store.Listing{Revision: 7}, nil
	case <-ctx.Done():
		return store.Listing{}, ctx.Err()
	}
}

func (s *slowListings) GrantLease(context.Context, time.Duration) (store.Grant, error) {
	return store.Grant{Lease: store.Lease{ID: 1}}, nil
}

func (s *slowListings) Commit(context.Context, store.Txn) (store.Revision, error) { return 6, nil }

// TestBusyStoreIsNotAskedTwiceForAListing replays the return of a whole fleet:
// the store answers, and the first listing is on its way. A second one would only
// take the store's link from the listings of other hosts.
func TestBusyStoreIsNotAskedTwiceForAListing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowListings{takes: 3 * hedgeAfter}
		r := startingRegistry(s)
		time.AfterFunc(10*time.Millisecond, func() {
			if err := r.register(t.Context()); err != nil {
				t.Error(err)
			}
		})
		require.NoError(t, r.follow(t.Context()))
		require.Equal(t, int32(1), s.calls.Load())
	})
}

// TestStoreThatWakesIsAskedAfresh: an answer to what was asked before the listing
// says nothing of a listing that was asked while the store was silent.
func TestStoreThatWakesIsAskedAfresh(t *testing.T) {
	var seen storeSeen
	seen.answered(5 * time.Millisecond)
	seen.answered(2 * time.Millisecond)
	require.True(t, seen.after(4*time.Millisecond))
	require.False(t, seen.after(5*time.Millisecond))
}

// TestEarlierLifeIsRemembered: a host that was registered when it started is told
// apart from one that finds only what it has just written itself, or nothing.
func TestEarlierLifeIsRemembered(t *testing.T) {
	for _, c := range []struct {
		name string
		// registered is the revision of this life's registration; zero before it.
		registered store.Revision
		// listed is the revision of the host's key in the listing; zero for none.
		listed     store.Revision
		remembered bool
	}{
		{"the lease has lapsed", 0, 0, false},
		{"the lease still runs", 0, 5, true},
		{"registered meanwhile", 9, 9, false},
		{"listed before it registered", 9, 5, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := startingRegistry(&slowListings{})
			r.registeredAt = c.registered
			l := store.Listing{Revision: 10}
			if c.listed > 0 {
				l.Items = []store.Item{{Key: hostKey("self"), Value: encodeRegistration(roster.Registration{Host: gates.Host{Zone: "z", Address: "a"}}), Revision: c.listed}}
			}
			r.replace(l)
			require.Equal(t, c.remembered, r.Remembered())
			r.replace(store.Listing{Revision: 11})
			require.Equal(t, c.remembered, r.Remembered(), "only the first listing tells")
		})
	}
}

// awayStore refuses everything until it is back.
type awayStore struct {
	slowListings
	back            atomic.Bool
	watches, grants atomic.Int32
}

var errAway = &store.Error{Call: "any", Failure: store.Unavailable, Err: errors.New("away")}

func (s *awayStore) Range(context.Context, string) (store.Listing, error) {
	if !s.back.Load() {
		return store.Listing{}, errAway
	}
	return store.Listing{Revision: 7}, nil
}

func (s *awayStore) Watch(context.Context, string, store.Revision, time.Duration) (store.Listing, error) {
	s.watches.Add(1)
	return store.Listing{}, errAway
}

func (s *awayStore) GrantLease(context.Context, time.Duration) (store.Grant, error) {
	s.grants.Add(1)
	if !s.back.Load() {
		return store.Grant{}, errAway
	}
	return store.Grant{Lease: store.Lease{ID: 1}}, nil
}

// TestHostRegistersAsSoonAsTheStoreIsBack replays a host that starts beside a
// store that is away: it asks for a lease once, and again when its listing is
// answered.
func TestHostRegistersAsSoonAsTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &awayStore{}
		r := startingRegistry(s)
		ctx, cancel := context.WithCancel(t.Context())
		go r.Run(ctx)
		go r.KeepPresence(ctx)
		time.Sleep(time.Second)
		require.Equal(t, int32(1), s.grants.Load())
		s.back.Store(true)
		// After many calls the first listing is asked for less often. The lease would
		// be asked for without a word of the store after renewEvery.
		const soonest = time.Second + 50*time.Millisecond
		require.Less(t, time.Second+soonest, renewEvery)
		require.Less(t, backoff.Max, soonest)
		time.Sleep(soonest)
		require.Equal(t, int32(2), s.grants.Load())
		require.True(t, r.registered())
		cancel()
		synctest.Wait()
	})
}

// TestStandInSparesAStoreThatIsAway replays an outage of the store: no host
// relays, and those that are no relays ask the store less often than the relays.
func TestStandInSparesAStoreThatIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// mean is the watches of a host in ten seconds, by whether it stands in.
		mean := map[bool]float64{}
		const relays, standIns = 2, 18
		var fleet []store.Item
		for i := range 20 {
			h := gates.Host{Name: fmt.Sprint("host-", i), Zone: "z", Address: fmt.Sprint("a", i)}
			fleet = append(fleet, store.Item{Key: hostKey(h.Name), Value: encodeRegistration(roster.Registration{Host: h}), Revision: 1})
		}
		for i := range 20 {
			s := &awayStore{}
			r := New(Config{
				Store: s, Documents: platform.Documents{}, Self: gates.Host{Name: fmt.Sprint("host-", i), Zone: "z"}, Changed: func() {}, Log: zerolog.Nop(),
				FollowHost: func(context.Context, string, store.Revision, func(News)) error {
					return &RelayRefusedError{Err: errAway}
				},
			})
			r.replace(store.Listing{Revision: 7, Items: fleet})
			r.catalog = &catalog.Catalog{}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			r.Run(ctx)
			cancel()
			if r.standsIn() {
				mean[true] += float64(s.watches.Load()) / standIns
			} else {
				mean[false] += float64(s.watches.Load()) / relays
			}
		}
		require.InDelta(t, 14, mean[true], 4, "with the spacing of relays about 23")
		require.Greater(t, mean[false], mean[true])
	})
}
