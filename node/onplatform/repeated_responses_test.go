package onplatform_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/entry"
	"github.com/dotterelswitch/dotterelswitch/node/onplatform"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
	"github.com/dotterelswitch/dotterelswitch/standin/responseproxy"
)

// users is the users' platform behind a proxy that disturbs responses.
type users struct {
	*lineplatform.Platform
	proxy *responseproxy.Proxy
	entry.Adapter
}

const callTimeout = 2 * time.Second

func startUsers(t *testing.T, f responseproxy.Fault) users {
	t.Helper()
	p, err := lineplatform.Start()
	require.NoError(t, err)
	t.Cleanup(p.Close)
	proxy, err := responseproxy.New(p.Address(), 1)
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	proxy.SetFault(f)
	a := onplatform.NewAdapter(onplatform.Options{Host: "h1", StoreAddress: proxy.Address(), PromotionAddress: proxy.Address(), Timeout: callTimeout})
	return users{Platform: p, proxy: proxy, Adapter: a}
}

// repeatAll repeats each response once the next request on the connection was sent.
var repeatAll = responseproxy.Fault{Repeat: 1, AfterNextRequest: true}

func putIfAbsent(key string) store.Txn {
	return store.Txn{Conditions: []store.Condition{{Key: key}}, Writes: []store.Write{{Key: key, Value: []byte("h1")}}}
}

func revisionOf(t *testing.T, u users, number uint64) store.Revision {
	t.Helper()
	r, err := store.NewRevision(store.Epoch(u.kv().Epoch()), number)
	require.NoError(t, err)
	return r
}

// kv returns the stand-in store.
func (u users) kv() *lineplatform.Store { return u.Platform.Store }

// TestRepeatedCommitIsNotAnothersLock guards against a host that believes to hold a lock
// which another host holds, because the answer to its earlier write came twice.
func TestRepeatedCommitIsNotAnothersLock(t *testing.T) {
	u := startUsers(t, repeatAll)
	u.kv().Put("locks/b", []byte("h2"))
	_, err := u.Adapter.Store.Commit(t.Context(), putIfAbsent("locks/a"))
	require.NoError(t, err)
	_, err = u.Adapter.Store.Commit(t.Context(), putIfAbsent("locks/b"))
	require.True(t, store.Is(err, store.Conflict), "%v", err)
}

// TestRepeatedConflictIsNotThatOfAnotherCommit guards against a host that believes a lock
// to be another host's, and holds it for the length of its lease.
func TestRepeatedConflictIsNotThatOfAnotherCommit(t *testing.T) {
	u := startUsers(t, repeatAll)
	u.kv().Put("locks/b", []byte("h2"))
	_, err := u.Adapter.Store.Commit(t.Context(), putIfAbsent("locks/b"))
	require.True(t, store.Is(err, store.Conflict), "%v", err)
	_, err = u.Adapter.Store.Commit(t.Context(), putIfAbsent("locks/a"))
	require.NoError(t, err)
}

// TestRepeatedRenewalIsNotThatOfAnEndedLease guards against a host that believes to be
// registered after its lease has ended.
func TestRepeatedRenewalIsNotThatOfAnEndedLease(t *testing.T) {
	u := startUsers(t, repeatAll)
	g, err := u.Adapter.Store.GrantLease(t.Context(), time.Minute)
	require.NoError(t, err)
	require.NoError(t, u.Adapter.Store.RenewLease(t.Context(), g.Lease))
	u.kv().EndLease(g.Lease.ID)
	err = u.Adapter.Store.RenewLease(t.Context(), g.Lease)
	require.True(t, store.Is(err, store.LeaseEnded), "%v", err)
}

// TestRepeatedGrantIsNoOtherLease guards against a lease that is taken for a new one.
func TestRepeatedGrantIsNoOtherLease(t *testing.T) {
	u := startUsers(t, repeatAll)
	first, err := u.Adapter.Store.GrantLease(t.Context(), time.Minute)
	require.NoError(t, err)
	second, err := u.Adapter.Store.GrantLease(t.Context(), time.Minute)
	require.NoError(t, err)
	require.NotEqual(t, first.Lease, second.Lease)
	require.NoError(t, u.Adapter.Store.EndLease(t.Context(), first.Lease))
	require.NoError(t, u.Adapter.Store.RenewLease(t.Context(), second.Lease))
}

// TestRepeatedWatchIsNotTheNextOne guards against changes that are applied again, and
// against an answer to a watch of the past that counts as contact with the store.
func TestRepeatedWatchIsNotTheNextOne(t *testing.T) {
	u := startUsers(t, repeatAll)
	const wait = 100 * time.Millisecond
	after := revisionOf(t, u, 0)
	for round := range 20 {
		number := u.kv().Put("k", []byte{byte(round)})
		l, err := u.Adapter.Store.Watch(t.Context(), "", after, time.Second)
		require.NoError(t, err)
		require.Len(t, l.Items, 1)
		require.Equal(t, revisionOf(t, u, number), l.Revision)
		after = l.Revision
		if round%4 == 0 {
			startedAt := time.Now()
			l, err = u.Adapter.Store.Watch(t.Context(), "", after, wait)
			require.NoError(t, err)
			require.Empty(t, l.Items)
			require.GreaterOrEqual(t, time.Since(startedAt), wait, "the answer is that of an earlier watch")
		}
	}
}

// TestRepeatedPageIsNotAnotherOne guards against a listing that lacks keys or has some of
// them twice, and against a short listing that is taken for that of the whole store.
func TestRepeatedPageIsNotAnotherOne(t *testing.T) {
	u := startUsers(t, repeatAll)
	for i := range 220 {
		u.kv().Put(fmt.Sprintf("servers/%03d", i), []byte("x"))
	}
	for range 3 {
		l, err := u.Adapter.Store.Range(t.Context(), "none/", nil)
		require.NoError(t, err)
		require.Empty(t, l.Items)
		l, err = u.Adapter.Store.Range(t.Context(), "", nil)
		require.NoError(t, err)
		requireKeys(t, l, 220)
	}
}

func requireKeys(t *testing.T, l store.Listing, n int) {
	t.Helper()
	require.Len(t, l.Items, n)
	for i, item := range l.Items {
		require.Equal(t, fmt.Sprintf("servers/%03d", i), item.Key)
	}
}

// TestLateResponseIsNotThatOfTheNextCall guards against the answer to a call that has timed
// out being taken for that of the next one.
func TestLateResponseIsNotThatOfTheNextCall(t *testing.T) {
	u := startUsers(t, responseproxy.Fault{Latency: 100 * time.Millisecond})
	u.kv().Put("locks/b", []byte("h2"))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := u.Adapter.Store.Commit(ctx, putIfAbsent("locks/a"))
	require.True(t, store.Is(err, store.Unanswered), "%v", err)
	_, err = u.Adapter.Store.Commit(t.Context(), putIfAbsent("locks/b"))
	require.True(t, store.Is(err, store.Conflict), "%v", err)
}

// TestRepeatedResponsesReachNoOtherCall guards against the same faults for responses that
// come again at once or up to 20 ms later, with calls of several kinds beside each other.
func TestRepeatedResponsesReachNoOtherCall(t *testing.T) {
	u := startUsers(t, responseproxy.Fault{Repeat: 0.3, MaxDelay: 20 * time.Millisecond})
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	right, wrong := 0, map[string]int{}
	count := func(kind string, ok bool) {
		mu.Lock()
		defer mu.Unlock()
		if ok {
			right++
		} else {
			wrong[kind]++
		}
	}
	for caller := range 6 {
		wg.Go(func() {
			key, last := fmt.Sprintf("k/%d", caller), store.Revision(0)
			for round := 0; ctx.Err() == nil; round++ {
				value := []byte(fmt.Sprint(caller, " ", round))
				revision, err := u.Adapter.Store.Commit(context.Background(), store.Txn{
					Conditions: []store.Condition{{Key: key, Revision: last}}, Writes: []store.Write{{Key: key, Value: value}},
				})
				held, number := u.kv().Get(key)
				if err != nil || string(held) != string(value) || revision.Number() != number {
					count("commit", false)
					last = revisionOf(t, u, number)
					continue
				}
				count("commit", true)
				_, err = u.Adapter.Store.Commit(context.Background(), store.Txn{Conditions: []store.Condition{{Key: key, Revision: last}}})
				count("conflict", store.Is(err, store.Conflict) && errorNames(err, key))
				last = revision
				l, err := u.Adapter.Store.Range(context.Background(), key, nil)
				count("range", err == nil && len(l.Items) == 1 && string(l.Items[0].Value) == string(value))
				l, err = u.Adapter.Store.Watch(context.Background(), key, revisionOf(t, u, revision.Number()-1), time.Second)
				count("watch", err == nil && len(l.Items) == 1 && l.Items[0].Key == key && l.Items[0].Revision == revision)
				g, err := u.Adapter.Store.GrantLease(context.Background(), time.Minute)
				count("grant", err == nil)
				count("keep", u.Adapter.Store.RenewLease(context.Background(), g.Lease) == nil)
				count("end", u.Adapter.Store.EndLease(context.Background(), g.Lease) == nil)
				count("keep of an ended lease", store.Is(u.Adapter.Store.RenewLease(context.Background(), g.Lease), store.LeaseEnded))
			}
		})
	}
	wg.Wait()
	t.Logf("%d right answers, wrong ones: %v, %d responses repeated, %d requests on %d connections", right, wrong, u.proxy.Repeated(), u.proxy.Requests(), u.proxy.Connections())
	require.Empty(t, wrong)
	require.Greater(t, right, 200)
}

// errorNames reports whether a conflict tells the state of the key.
func errorNames(err error, key string) bool {
	var e *store.Error
	return errors.As(err, &e) && len(e.Current) == 1 && e.Current[0].Key == key
}
