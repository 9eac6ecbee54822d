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
	"github.com/dotterelswitch/dotterelswitch/core/storelink"
	"github.com/dotterelswitch/dotterelswitch/platform"
	"github.com/dotterelswitch/dotterelswitch/standin/simtime"
)

// unresponsiveStore never answers calls that were made before answersFrom. If err is
// set, it answers each call with it.
type unresponsiveStore struct {
	Store
	answersFrom time.Time
	calls       atomic.Int32
	err         error
}

func (s *unresponsiveStore) Range(ctx context.Context, _ string, _ func(bool)) (store.Listing, error) {
	s.calls.Add(1)
	if s.err != nil {
		return store.Listing{}, s.err
	}
	if time.Now().Before(s.answersFrom) {
		<-ctx.Done()
		return store.Listing{}, ctx.Err()
	}
	return store.Listing{Revision: 7}, nil
}

func startingRegistry(s Store) *Registry {
	return New(Config{Store: s, Documents: platform.Documents{}, Self: gates.Host{Name: "self"}, Changed: func() {}, Log: zerolog.Nop()})
}

// TestFirstListingIsHedgedWhileStoreIsUnresponsive guards against a host that waits for
// the timeout of a call which is never answered although the store is back.
func TestFirstListingIsHedgedWhileStoreIsUnresponsive(t *testing.T) {
	simtime.Test(t, func(t *testing.T) {
		s := &unresponsiveStore{answersFrom: time.Now().Add(400 * time.Millisecond)}
		r := registryInSimulatedTime(s)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		require.NoError(t, r.syncOnce(ctx))
		require.Equal(t, int32(3), s.calls.Load())
	})
}

func TestOutstandingHedgedListingsAreBounded(t *testing.T) {
	simtime.Test(t, func(t *testing.T) {
		s := &unresponsiveStore{answersFrom: time.Now().Add(time.Hour)}
		ctx, cancel := context.WithTimeout(t.Context(), (maxHedgedCalls+3)*hedgeDelay)
		defer cancel()
		require.Error(t, registryInSimulatedTime(s).syncOnce(ctx))
		require.Equal(t, int32(maxHedgedCalls), s.calls.Load())
	})
}

// TestFirstListingErrorIsReturned checks that a failed listing is not retried here: the
// caller applies a backoff.
func TestFirstListingErrorIsReturned(t *testing.T) {
	s := &unresponsiveStore{err: errors.New("unavailable")}
	require.ErrorIs(t, startingRegistry(s).syncOnce(t.Context()), s.err)
	require.Equal(t, int32(1), s.calls.Load())
}

// slowListingStore delays listings and answers all other calls at once, like a store
// whose network link is saturated by listings.
type slowListingStore struct {
	Store
	delay time.Duration
	calls atomic.Int32
}

func (s *slowListingStore) Range(ctx context.Context, _ string, _ func(bool)) (store.Listing, error) {
	s.calls.Add(1)
	select {
	case <-time.After(s.delay):
		return store.Listing{Revision: 7}, nil
	case <-ctx.Done():
		return store.Listing{}, ctx.Err()
	}
}

func (s *slowListingStore) GrantLease(context.Context, time.Duration) (store.Grant, error) {
	return store.Grant{Lease: store.Lease{ID: 1}}, nil
}

func (s *slowListingStore) Commit(context.Context, store.Txn) (store.Revision, error) { return 6, nil }

// TestListingIsNotHedgedWhileStoreAnswersOtherCalls guards against additional load on a
// store that is sending complete listings to a whole fleet.
func TestListingIsNotHedgedWhileStoreAnswersOtherCalls(t *testing.T) {
	simtime.Test(t, func(t *testing.T) {
		s := &slowListingStore{delay: 3 * hedgeDelay}
		r := startingRegistry(s)
		time.AfterFunc(10*time.Millisecond, func() {
			if err := r.register(t.Context()); err != nil {
				t.Error(err)
			}
		})
		require.NoError(t, r.syncOnce(t.Context()))
		require.Equal(t, int32(1), s.calls.Load())
	})
}

// pagingStore answers a listing in many pages, each after pageDelay. It sends no more
// than maxPages of the first listing.
type pagingStore struct {
	Store
	pages, maxPages int
	pageDelay       time.Duration
	calls           atomic.Int32
}

func (s *pagingStore) Range(ctx context.Context, _ string, onPage func(more bool)) (store.Listing, error) {
	first := s.calls.Add(1) == 1
	for page := range s.pages {
		delay := s.pageDelay
		if first && page >= s.maxPages {
			delay = time.Hour
		}
		select {
		case <-time.After(delay):
			onPage(page+1 < s.pages)
		case <-ctx.Done():
			return store.Listing{}, ctx.Err()
		}
	}
	return store.Listing{Revision: 7}, nil
}

// registryInSimulatedTime returns the registry of a starting host that runs in a bubble of
// synctest.
func registryInSimulatedTime(s Store) *Registry {
	r := startingRegistry(s)
	r.now = simulatedClock()
	return r
}

// TestListingOfManyPagesIsNotHedged guards against hosts that list a large store several
// times at once because a listing takes longer than hedgeDelay.
func TestListingOfManyPagesIsNotHedged(t *testing.T) {
	simtime.Test(t, func(t *testing.T) {
		s := &pagingStore{pages: 25, maxPages: 25, pageDelay: hedgeDelay / 5}
		require.NoError(t, registryInSimulatedTime(s).syncOnce(t.Context()))
		require.Equal(t, int32(1), s.calls.Load())
	})
}

// TestListingThatStopsHalfwayIsHedged guards against waiting for the pages of a store
// that has stopped answering.
func TestListingThatStopsHalfwayIsHedged(t *testing.T) {
	simtime.Test(t, func(t *testing.T) {
		s := &pagingStore{pages: 10, maxPages: 5, pageDelay: hedgeDelay / 5}
		require.NoError(t, registryInSimulatedTime(s).syncOnce(t.Context()))
		require.Equal(t, int32(2), s.calls.Load())
	})
}

// TestAnswerToEarlierCallDoesNotPreventHedging: only the answer to a call that was sent
// after the listing shows that the store received the listing while it was responsive.
func TestAnswerToEarlierCallDoesNotPreventHedging(t *testing.T) {
	var last lastAnsweredCall
	last.record(5 * time.Millisecond)
	last.record(2 * time.Millisecond)
	require.True(t, last.answeredSince(4*time.Millisecond))
	require.False(t, last.answeredSince(5*time.Millisecond))
}

// TestRegistrationAtStartIsDetected checks that a registration of an earlier process is
// distinguished from one of this process and from none.
func TestRegistrationAtStartIsDetected(t *testing.T) {
	for _, c := range []struct {
		name string
		// registered is the revision of this process's registration; zero before it.
		registered store.Revision
		// listed is the revision of the host's key in the listing; zero for none.
		listed            store.Revision
		registeredAtStart bool
	}{
		{"earlier lease has expired", 0, 0, false},
		{"earlier lease is valid", 0, 5, true},
		{"registered before the listing", 9, 9, false},
		{"registered after the listing", 9, 5, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := startingRegistry(&slowListingStore{})
			r.registeredAt = c.registered
			l := store.Listing{Revision: 10}
			if c.listed > 0 {
				l.Items = []store.Item{{Key: hostKey("self"), Value: encodeRegistration(roster.Registration{Host: gates.Host{Zone: "z", Address: "a"}}), Revision: c.listed}}
			}
			r.replace(l)
			require.Equal(t, c.registeredAtStart, r.RegisteredAtStart())
			r.replace(store.Listing{Revision: 11})
			require.Equal(t, c.registeredAtStart, r.RegisteredAtStart(), "only the first listing counts")
		})
	}
}

// unavailableStore refuses listings and leases until it is available; it always refuses
// watches.
type unavailableStore struct {
	slowListingStore
	available       atomic.Bool
	watches, grants atomic.Int32
}

var errUnavailable = &store.Error{Call: "any", Failure: store.Unavailable, Err: errors.New("unavailable")}

func (s *unavailableStore) Range(context.Context, string, func(bool)) (store.Listing, error) {
	if !s.available.Load() {
		return store.Listing{}, errUnavailable
	}
	return store.Listing{Revision: 7}, nil
}

func (s *unavailableStore) Watch(context.Context, string, store.Revision, time.Duration) (store.Listing, error) {
	s.watches.Add(1)
	return store.Listing{}, errUnavailable
}

func (s *unavailableStore) GrantLease(context.Context, time.Duration) (store.Grant, error) {
	s.grants.Add(1)
	if !s.available.Load() {
		return store.Grant{}, errUnavailable
	}
	return store.Grant{Lease: store.Lease{ID: 1}}, nil
}

// TestHostRegistersAsSoonAsStoreIsReachable starts a host during a store outage: it
// requests a lease once, and again as soon as its listing is answered.
func TestHostRegistersAsSoonAsStoreIsReachable(t *testing.T) {
	simtime.Test(t, func(t *testing.T) {
		s := &unavailableStore{}
		r := startingRegistry(s)
		ctx, cancel := context.WithCancel(t.Context())
		go r.Run(ctx)
		go r.KeepRegistered(ctx)
		time.Sleep(time.Second)
		require.Equal(t, int32(1), s.grants.Load())
		s.available.Store(true)
		// The listing is retried within the longest backoff. Without its answer the lease would be
		// requested again only after renewInterval.
		const maxDelay = time.Second + 50*time.Millisecond
		require.Less(t, time.Second+maxDelay, renewInterval)
		require.Less(t, storelink.NewPacing(0).Backoff(storelink.Alone, true, false, 0).Max, maxDelay)
		time.Sleep(maxDelay)
		require.Equal(t, int32(2), s.grants.Load())
		require.True(t, r.registered())
		cancel()
		synctest.Wait()
	})
}

// TestHostWithoutRelayCallsUnavailableStoreLessOften checks that during a store outage,
// when no relay accepts followers, the hosts that are no relays call the store less often
// than the relays do.
func TestHostWithoutRelayCallsUnavailableStoreLessOften(t *testing.T) {
	simtime.Test(t, func(t *testing.T) {
		// meanWatches is the mean number of watches of a host in ten seconds, by whether it
		// awaits a relay.
		meanWatches := map[bool]float64{}
		const relays, awaiting = 2, 18
		var fleet []store.Item
		for i := range 20 {
			h := gates.Host{Name: fmt.Sprint("host-", i), Zone: "z", Address: fmt.Sprint("a", i)}
			fleet = append(fleet, store.Item{Key: hostKey(h.Name), Value: encodeRegistration(roster.Registration{Host: h}), Revision: 1})
		}
		for i := range 20 {
			s := &unavailableStore{}
			r := New(Config{
				Store: s, Documents: platform.Documents{}, Self: gates.Host{Name: fmt.Sprint("host-", i), Zone: "z"}, Changed: func() {}, Log: zerolog.Nop(),
				FollowHost: func(context.Context, string, store.Revision, bool, func(Update)) error {
					return &RelayRefusedError{Err: errUnavailable}
				},
			})
			r.replace(store.Listing{Revision: 7, Items: fleet})
			r.catalog = &catalog.Catalog{}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			r.Run(ctx)
			cancel()
			if r.role() == storelink.AwaitingRelay {
				meanWatches[true] += float64(s.watches.Load()) / awaiting
			} else {
				meanWatches[false] += float64(s.watches.Load()) / relays
			}
		}
		require.InDelta(t, 14, meanWatches[true], 4, "relays make about 23")
		require.Greater(t, meanWatches[false], meanWatches[true])
	})
}
