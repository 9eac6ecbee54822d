package registry

import (
	"context"
	"errors"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/store"
)

// CallName names a call to the store in metrics.
type CallName string

// The calls.
const (
	CallRange      CallName = "range"
	CallWatch      CallName = "watch"
	CallCommit     CallName = "commit"
	CallGrantLease CallName = "grant_lease"
	CallRenewLease CallName = "renew_lease"
	CallEndLease   CallName = "end_lease"
)

const (
	// resultOK is the result of a call that succeeded; the others are named by
	// their store.Failure.
	resultOK = "ok"
	// resultOther is an error that no store gives, such as an ended context.
	resultOther = "other"
)

// CountFunc is told of each call that has ended.
type CountFunc func(call CallName, result string)

// countedStore counts the calls to a store by kind and result.
type countedStore struct {
	store Store
	count CountFunc
}

// Counted returns a store whose calls are counted.
func Counted(s Store, count CountFunc) Store { return &countedStore{store: s, count: count} }

func (c *countedStore) done(call CallName, err error) {
	c.count(call, resultOf(err))
}

func resultOf(err error) string {
	if err == nil {
		return resultOK
	}
	var e *store.Error
	if errors.As(err, &e) {
		return e.Failure.String()
	}
	return resultOther
}

// Range implements Store.
func (c *countedStore) Range(ctx context.Context, prefix string) (store.Listing, error) {
	l, err := c.store.Range(ctx, prefix)
	c.done(CallRange, err)
	return l, err
}

// Watch implements Store.
func (c *countedStore) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Listing, error) {
	l, err := c.store.Watch(ctx, prefix, after, wait)
	c.done(CallWatch, err)
	return l, err
}

// Commit implements Store.
func (c *countedStore) Commit(ctx context.Context, txn store.Txn) (store.Revision, error) {
	revision, err := c.store.Commit(ctx, txn)
	c.done(CallCommit, err)
	return revision, err
}

// GrantLease implements Store.
func (c *countedStore) GrantLease(ctx context.Context, ttl time.Duration) (store.Grant, error) {
	g, err := c.store.GrantLease(ctx, ttl)
	c.done(CallGrantLease, err)
	return g, err
}

// RenewLease implements Store.
func (c *countedStore) RenewLease(ctx context.Context, lease store.Lease) error {
	err := c.store.RenewLease(ctx, lease)
	c.done(CallRenewLease, err)
	return err
}

// EndLease implements Store.
func (c *countedStore) EndLease(ctx context.Context, lease store.Lease) error {
	err := c.store.EndLease(ctx, lease)
	c.done(CallEndLease, err)
	return err
}
