package registry

import (
	"context"
	"errors"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/roster"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

const (
	// leaseTTL is how long a host counts as living after its last renewal. A
	// promotion needs more than half of the living hosts, so dead ones must not
	// count for long.
	leaseTTL = 6 * time.Second
	// renewEvery is half of the lease. Each renewal is a write of the store, and
	// the whole fleet makes them.
	renewEvery = leaseTTL / 2
)

// KeepPresence keeps the host registered until the context ends.
func (r *Registry) KeepPresence(ctx context.Context) {
	var spacing renewals
	for ctx.Err() == nil && !r.isLeaving() {
		r.forgetReached()
		err := r.keepOnce(ctx)
		if err != nil {
			r.noteAway(err)
		}
		spacing.ended(err)
		r.awaitRenewal(ctx, &spacing)
	}
}

// awaitRenewal waits until the lease is to be renewed, or after a failure perhaps
// only until the store answers this host.
func (r *Registry) awaitRenewal(ctx context.Context, spacing *renewals) {
	timer := time.NewTimer(spacing.pause(r.Catalog() != nil))
	defer timer.Stop()
	var reached <-chan struct{}
	if spacing.mayHurry() {
		reached = r.reached
	}
	select {
	case <-timer.C:
	case <-reached:
		spacing.hurry()
	case <-r.lapsed:
		clock.Sleep(ctx, spread(len(r.Hosts()), false))
	case <-ctx.Done():
	}
}

// keepOnce renews the lease, or takes a new one and registers with it. A lease is one
// of its epoch: in another, its number may be another host's.
func (r *Registry) keepOnce(ctx context.Context) error {
	lease := r.currentLease()
	if !lease.IsZero() && r.registered() {
		err := r.store.RenewLease(ctx, lease)
		r.noteRestored(err)
		if !store.Is(err, store.LeaseEnded) && !store.Is(err, store.Restored) {
			return err
		}
		eventlog.LeaseLost.Warn(r.log).Err(err).Uint64("lease", lease.ID).Uint64("epoch", uint64(lease.Epoch)).Send()
	}
	if !lease.IsZero() && lease.Epoch < r.Epoch() {
		clock.Sleep(ctx, spread(len(r.Hosts()), true))
	}
	err := r.register(ctx)
	if store.Is(err, store.Restored) {
		// The store returned from a copy between the two calls.
		r.noteRestored(err)
		err = r.register(ctx)
	}
	return err
}

// noteRestored takes what a failed call tells of the store's epoch.
func (r *Registry) noteRestored(err error) {
	var e *store.Error
	if errors.As(err, &e) && e.Failure == store.Restored {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.hearOfEpoch(e.Epoch)
	}
}

func (r *Registry) register(ctx context.Context) error {
	asked := clock.Now()
	g, err := r.store.GrantLease(ctx, leaseTTL)
	if err != nil {
		return err
	}
	r.seen.answered(asked)
	asked = clock.Now()
	reg := roster.Registration{Host: r.self, Epoch: g.Lease.Epoch, ConfigVersion: r.configVersion()}
	revision, err := r.store.Commit(ctx, store.Txn{Writes: []store.Write{{Key: hostKey(r.self.Name), Value: encodeRegistration(reg), Lease: g.Lease}}})
	if err != nil {
		return err
	}
	r.seen.answered(asked)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease = g.Lease
	r.registeredAt = revision
	r.roster.Put(reg, clock.Now())
	r.hearOfEpoch(g.Lease.Epoch)
	return nil
}

// configVersion returns the version of the configuration in force; zero for none.
func (r *Registry) configVersion() uint64 {
	if c := r.Catalog(); c != nil {
		return c.Version
	}
	return 0
}

// registered reports whether the host's own key still stands.
func (r *Registry) registered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.roster.Registered(r.self.Name)
}

// noteRemembered notes whether a listing names this host although it has not
// registered: an earlier life has, and its lease has not ended. It is called with
// mu held.
func (r *Registry) noteRemembered() {
	own, found := r.items[hostKey(r.self.Name)]
	r.remembered = found && (r.registeredAt == 0 || own.Revision < r.registeredAt)
}

// Remembered reports whether this host was registered already when it first
// listed the store.
func (r *Registry) Remembered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.remembered
}

// Epoch returns the store's epoch as far as this host has heard.
func (r *Registry) Epoch() store.Epoch {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision.Epoch()
}

func (r *Registry) currentLease() store.Lease {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease
}

// Leave takes the host's keys back for good, so that others send it nothing
// more. A lease of an earlier epoch is not ended: its number may be another host's.
func (r *Registry) Leave(ctx context.Context) error {
	r.mu.Lock()
	r.leaving = true
	lease, epoch := r.lease, r.revision.Epoch()
	r.mu.Unlock()
	switch {
	case lease.IsZero():
		return nil
	case lease.Epoch < epoch:
		_, err := r.store.Commit(ctx, store.Txn{Deletes: []string{hostKey(r.self.Name)}})
		return err
	}
	return r.store.EndLease(ctx, lease)
}

func (r *Registry) isLeaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving
}

// Suspect reports a member as dead.
func (r *Registry) Suspect(ctx context.Context, service, member string) error {
	key, lease := suspectKey(service, member, r.self.Name), r.currentLease()
	_, err := r.store.Commit(ctx, store.Txn{Writes: []store.Write{{Key: key, Value: encodeReport(lease.Epoch), Lease: lease}}})
	return err
}

// Trust takes the report back.
func (r *Registry) Trust(ctx context.Context, service, member string) error {
	_, err := r.store.Commit(ctx, store.Txn{Deletes: []string{suspectKey(service, member, r.self.Name)}})
	return err
}

// errNotRegistered refuses a lock to a host without a lease, because it would
// outlive its holder.
var errNotRegistered = errors.New("the host has no lease")

// TakeLock takes the promotion lock of a service, or changes this host's own,
// provided that it is still as known. The revision of the lock is its fencing
// token: it is higher than that of every lock before. After an error the lock
// may be taken all the same; the store's news tell.
func (r *Registry) TakeLock(ctx context.Context, service string, known succession.Lock) (token uint64, err error) {
	lease := r.currentLease()
	if lease.IsZero() {
		return 0, errNotRegistered
	}
	key := lockKey(service)
	revision, err := r.store.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: key, Revision: known.Revision}},
		Writes:     []store.Write{{Key: key, Value: []byte(r.self.Name), Lease: lease}},
	})
	if err != nil {
		return 0, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	lock := succession.Lock{Holder: r.self.Name, Revision: revision}
	if r.own.locks[service].Revision < revision {
		r.own.locks[service] = lock
	}
	return lock.Token(), nil
}

// Abandon forgets the lease, so that it runs out by itself, as after a crash.
func (r *Registry) Abandon() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease = store.Lease{}
}
