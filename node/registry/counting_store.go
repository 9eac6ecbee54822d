package registry

import (
	"context"
	"errors"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/store"
)

// CallName names a call to the store in metrics.
type CallName string

const (
	CallRange      CallName = "range"
	CallWatch      CallName = "watch"
	CallCommit     CallName = "commit"
	CallGrantLease CallName = "grant_lease"
	CallRenewLease CallName = "renew_lease"
	CallEndLease   CallName = "end_lease"
)

const (
	// resultOK is the result of a successful call; failed calls have the name of their
	// store.Failure.
	resultOK = "ok"
	// resultOther is the result of a call that failed with another error than
	// *store.Error, such as a cancelled context.
	resultOther = "other"
)

// CountFunc is called after each call to the store.
type CountFunc func(call CallName, result string)

// countingStore reports the calls to a store by kind and result.
type countingStore struct {
	store Store
	count CountFunc
}

// NewCountingStore returns a store that passes calls to s and reports them to count.
func NewCountingStore(s Store, count CountFunc) Store { return &countingStore{store: s, count: count} }

func (c *countingStore) observe(call CallName, err error) {
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
func (c *countingStore) Range(ctx context.Context, prefix string) (store.Listing, error) {
	l, err := c.store.Range(ctx, prefix)
	c.observe(CallRange, err)
	return l, err
}

// Watch implements Store.
func (c *countingStore) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Listing, error) {
	l, err := c.store.Watch(ctx, prefix, after, wait)
	c.observe(CallWatch, err)
	return l, err
}

// Commit implements Store.
func (c *countingStore) Commit(ctx context.Context, txn store.Txn) (store.Revision, error) {
	revision, err := c.store.Commit(ctx, txn)
	c.observe(CallCommit, err)
	return revision, err
}

// GrantLease implements Store.
func (c *countingStore) GrantLease(ctx context.Context, ttl time.Duration) (store.Grant, error) {
	g, err := c.store.GrantLease(ctx, ttl)
	c.observe(CallGrantLease, err)
	return g, err
}

// RenewLease implements Store.
func (c *countingStore) RenewLease(ctx context.Context, lease store.Lease) error {
	err := c.store.RenewLease(ctx, lease)
	c.observe(CallRenewLease, err)
	return err
}

// EndLease implements Store.
func (c *countingStore) EndLease(ctx context.Context, lease store.Lease) error {
	err := c.store.EndLease(ctx, lease)
	c.observe(CallEndLease, err)
	return err
}
