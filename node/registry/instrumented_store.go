package registry

import (
	"context"
	"errors"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/store"
)

// StoreCall names a call to the store in metrics.
type StoreCall string

const (
	CallRange      StoreCall = "range"
	CallRangePage  StoreCall = "range_page"
	CallWatch      StoreCall = "watch"
	CallCommit     StoreCall = "commit"
	CallGrantLease StoreCall = "grant_lease"
	CallRenewLease StoreCall = "renew_lease"
	CallEndLease   StoreCall = "end_lease"
)

const (
	// resultOK is the result of a successful call; failed calls have the name of their
	// store.Failure.
	resultOK = "ok"
	// resultCancelled is the result of a call that this host gave up before its timeout,
	// as another one was answered.
	resultCancelled = "cancelled"
	// resultOther is the result of a call that failed with another error than
	// *store.Error, such as a cancelled context.
	resultOther = "other"
)

// ObserveCallFunc is called after each call to the store.
type ObserveCallFunc func(call StoreCall, result string)

// instrumentedStore reports each call to a store and its result.
type instrumentedStore struct {
	store       Store
	observeCall ObserveCallFunc
}

// NewInstrumentedStore returns a store that passes calls to s and reports each of them
// to observeCall.
func NewInstrumentedStore(s Store, observeCall ObserveCallFunc) Store {
	return &instrumentedStore{store: s, observeCall: observeCall}
}

func (s *instrumentedStore) observe(call StoreCall, err error) {
	s.observeCall(call, resultOf(err))
}

func resultOf(err error) string {
	if err == nil {
		return resultOK
	}
	var e *store.Error
	switch {
	case !errors.As(err, &e):
		return resultOther
	case e.Failure == store.Unanswered && errors.Is(err, context.Canceled):
		return resultCancelled
	case e.Stage != store.StageUnknown:
		return e.Failure.String() + "_" + e.Stage.String()
	}
	return e.Failure.String()
}

// Range implements Store.
func (s *instrumentedStore) Range(ctx context.Context, prefix string, onPage func(more bool)) (store.Listing, error) {
	l, err := s.store.Range(ctx, prefix, func(more bool) {
		s.observe(CallRangePage, nil)
		if onPage != nil {
			onPage(more)
		}
	})
	s.observe(CallRange, err)
	return l, err
}

// Watch implements Store.
func (s *instrumentedStore) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Listing, error) {
	l, err := s.store.Watch(ctx, prefix, after, wait)
	s.observe(CallWatch, err)
	return l, err
}

// Commit implements Store.
func (s *instrumentedStore) Commit(ctx context.Context, txn store.Txn) (store.Revision, error) {
	revision, err := s.store.Commit(ctx, txn)
	s.observe(CallCommit, err)
	return revision, err
}

// GrantLease implements Store.
func (s *instrumentedStore) GrantLease(ctx context.Context, ttl time.Duration) (store.Grant, error) {
	g, err := s.store.GrantLease(ctx, ttl)
	s.observe(CallGrantLease, err)
	return g, err
}

// RenewLease implements Store.
func (s *instrumentedStore) RenewLease(ctx context.Context, lease store.Lease) error {
	err := s.store.RenewLease(ctx, lease)
	s.observe(CallRenewLease, err)
	return err
}

// EndLease implements Store.
func (s *instrumentedStore) EndLease(ctx context.Context, lease store.Lease) error {
	err := s.store.EndLease(ctx, lease)
	s.observe(CallEndLease, err)
	return err
}
