package registry_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/registry"
)

// failingStore answers every call with one error.
type failingStore struct{ err error }

func (f failingStore) Range(context.Context, string, func(bool)) (store.Listing, error) {
	return store.Listing{}, f.err
}

func (f failingStore) Watch(context.Context, string, store.Revision, time.Duration) (store.Listing, error) {
	return store.Listing{}, f.err
}

func (f failingStore) Commit(context.Context, store.Txn) (store.Revision, error) { return 0, f.err }

func (f failingStore) GrantLease(context.Context, time.Duration) (store.Grant, error) {
	return store.Grant{}, f.err
}

func (f failingStore) RenewLease(context.Context, store.Lease) error { return f.err }

func (f failingStore) EndLease(context.Context, store.Lease) error { return f.err }

// reportedCall is a reported call and its result.
type reportedCall struct {
	call   registry.StoreCall
	result string
}

// TestInstrumentedStoreReportsEachCallOnce checks that each call of the store interface
// is reported exactly once, with its result, and that its error is returned.
func TestInstrumentedStoreReportsEachCallOnce(t *testing.T) {
	for result, err := range map[string]error{
		"ok": nil, "throttled": &store.Error{Failure: store.Throttled}, "conflict": &store.Error{Failure: store.Conflict}, "other": errors.New("x"),
	} {
		var got []reportedCall
		s := registry.NewInstrumentedStore(failingStore{err}, func(call registry.StoreCall, result string) { got = append(got, reportedCall{call, result}) })
		ctx := context.Background()
		_, e1 := s.Range(ctx, "", nil)
		_, e2 := s.Watch(ctx, "", 0, 0)
		_, e3 := s.Commit(ctx, store.Txn{})
		_, e4 := s.GrantLease(ctx, 0)
		for _, e := range []error{e1, e2, e3, e4, s.RenewLease(ctx, store.Lease{ID: 1}), s.EndLease(ctx, store.Lease{ID: 1})} {
			require.Equal(t, err, e)
		}
		require.Equal(t, []reportedCall{
			{registry.CallRange, result}, {registry.CallWatch, result}, {registry.CallCommit, result},
			{registry.CallGrantLease, result}, {registry.CallRenewLease, result}, {registry.CallEndLease, result},
		}, got)
	}
}
