package registry

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

const (
	// leaseTTL is how long a host counts as living after its last renewal. A
	// promotion needs more than half of the living hosts, so dead ones must not
	// count for long; three renewals fit in.
	leaseTTL = 6 * time.Second
	// renewEvery is a third of the lease.
	renewEvery = leaseTTL / 3
)

// KeepPresence keeps the host registered until the context ends.
func (r *Registry) KeepPresence(ctx context.Context) {
	for ctx.Err() == nil && !r.isLeaving() {
		if err := r.keepOnce(ctx); err != nil {
			r.noteAway(err)
		}
		clock.Sleep(ctx, renewEvery)
	}
}

// keepOnce renews the lease, or takes a new one and registers with it.
func (r *Registry) keepOnce(ctx context.Context) error {
	lease := r.currentLease()
	if lease != 0 && r.registered() {
		err := r.store.RenewLease(ctx, lease)
		if !store.Is(err, store.LeaseEnded) {
			return err
		}
		eventlog.LeaseLost.Warn(r.log).Uint64("lease", uint64(lease)).Send()
	}
	return r.register(ctx)
}

func (r *Registry) register(ctx context.Context) error {
	g, err := r.store.GrantLease(ctx, leaseTTL)
	if err != nil {
		return err
	}
	_, err = r.store.Commit(ctx, store.Txn{Writes: []store.Write{{Key: hostKey(r.self.Name), Value: encodeHost(r.self), Lease: g.Lease}}})
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.lease = g.Lease
	r.own.hosts[r.self.Name] = r.self
	r.mu.Unlock()
	return nil
}

// registered reports whether the host's own key still stands.
func (r *Registry) registered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, found := r.own.hosts[r.self.Name]
	return found
}

func (r *Registry) currentLease() store.Lease {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease
}

// Leave takes the host's keys back for good, so that others send it nothing
// more.
func (r *Registry) Leave(ctx context.Context) error {
	r.mu.Lock()
	r.leaving = true
	lease := r.lease
	r.mu.Unlock()
	if lease == 0 {
		return nil
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
	key := suspectKey(service, member, r.self.Name)
	_, err := r.store.Commit(ctx, store.Txn{Writes: []store.Write{{Key: key, Value: []byte("dead"), Lease: r.currentLease()}}})
	return err
}

// Trust takes the report back.
func (r *Registry) Trust(ctx context.Context, service, member string) error {
	_, err := r.store.Commit(ctx, store.Txn{Deletes: []string{suspectKey(service, member, r.self.Name)}})
	return err
}

// Lock takes the promotion lock of a service. The revision of the lock is its
// fencing token: it is higher than that of every lock before.
func (r *Registry) Lock(ctx context.Context, service string) (token uint64, err error) {
	key := lockKey(service)
	return r.store.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: key, Revision: 0}},
		Writes:     []store.Write{{Key: key, Value: []byte(r.self.Name), Lease: r.currentLease()}},
	})
}

// Unlock gives a lock back, if it is still the one with the given token.
func (r *Registry) Unlock(ctx context.Context, service string, token uint64) error {
	key := lockKey(service)
	_, err := r.store.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: key, Revision: token}},
		Deletes:    []string{key},
	})
	return err
}

// Abandon forgets the lease, so that it runs out by itself, as after a crash.
func (r *Registry) Abandon() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease = 0
}
