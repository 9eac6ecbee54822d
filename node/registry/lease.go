package registry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/quota"
	"github.com/dotterelswitch/dotterelswitch/core/relay"
	"github.com/dotterelswitch/dotterelswitch/core/roster"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// reregistrationDelay returns a random delay before a host registers again with a
// restored store, so that the fleet does not register at once. The hosts may learn of the
// restore spread over a time already, as at their renewals; a host waits only for the rest
// of the required spread.
func reregistrationDelay(hosts int, alreadySpread time.Duration) time.Duration {
	return rand.N(max(roster.ReregistrationSpread(hosts)-alreadySpread, 0) + 1)
}

// KeepRegistered keeps the host registered until the context ends or Deregister is
// called.
func (r *Registry) KeepRegistered(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var sources sync.WaitGroup
	sources.Go(func() { r.keepSources(ctx) })
	defer sources.Wait()
	defer cancel()
	var schedule roster.RenewalSchedule
	rng := r.newRand()
	for ctx.Err() == nil && !r.isLeaving() {
		r.clearStoreReached()
		before := r.currentLease()
		err := r.renewOrRegister(ctx)
		if err != nil {
			r.markUnreachable(err)
		}
		schedule.Record(err)
		if err == nil {
			notify(r.sourcesDue)
		}
		interval := r.renewalInterval()
		if r.currentLease() != before {
			interval = r.firstRenewalDelay(rng)
		}
		r.awaitRenewal(ctx, &schedule, interval)
	}
}

// awaitRenewal waits until the next renewal is due, after the given time if the last one
// succeeded. After a failure it may end early, when the store answers this host again.
func (r *Registry) awaitRenewal(ctx context.Context, schedule *roster.RenewalSchedule, interval time.Duration) {
	timer := time.NewTimer(schedule.Delay(r.Catalog() != nil, interval))
	defer timer.Stop()
	var reached <-chan struct{}
	if schedule.MayRetryEarly() {
		reached = r.storeReached
	}
	select {
	case <-timer.C:
	case <-reached:
		schedule.RecordEarlyRetry()
	case <-r.fleetSizeKnown:
	case <-r.registrationLost:
		clock.Sleep(ctx, reregistrationDelay(len(r.Hosts()), 0))
	case <-ctx.Done():
	}
}

// renewOrRegister renews the lease, or registers with a new one if the lease has ended
// or the store was restored. After a restore the ID of an older lease may belong to
// another host.
func (r *Registry) renewOrRegister(ctx context.Context) error {
	lease := r.currentLease()
	if !lease.IsZero() && r.registered() && !r.leaseTooShort() {
		sentAt := r.now()
		err := r.store.RenewLease(ctx, lease)
		if err == nil {
			r.extendLease(sentAt)
		}
		r.observeRestoreError(err)
		if !store.Is(err, store.LeaseEnded) && !store.Is(err, store.Restored) {
			return err
		}
		eventlog.LeaseLost.Warn(r.log).Err(err).Uint64("lease", lease.ID).Uint64("epoch", uint64(lease.Epoch)).Send()
	}
	if !lease.IsZero() && lease.Epoch < r.Epoch() {
		clock.Sleep(ctx, reregistrationDelay(len(r.Hosts()), r.renewalInterval()))
	}
	err := r.register(ctx)
	if store.Is(err, store.Restored) {
		// The store was restored between the two calls of register.
		r.observeRestoreError(err)
		err = r.register(ctx)
	}
	return err
}

// extendLease records that the store has renewed the lease for a call sent at a time. The
// lease runs from the arrival of the call, and so ends no earlier.
func (r *Registry) extendLease(sentAt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaseEnd = sentAt + r.leaseTTL
}

// LeaseState returns how sure this host is that it is still registered. It hears of the
// end of its registration as long as the store's answers, which come at least once a
// WatchWait, reach it, directly or by a relay.
func (r *Registry) LeaseState(now time.Duration) quota.LeaseState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return quota.StateOfLease(r.leaseEnd, quota.Contact{
		Informed:          r.link.Age(now) <= r.pacing.WatchWait+relay.HeartbeatInterval || r.survey.StoreReached(now),
		FleetWithoutStore: r.survey.FleetWithoutStore(r.roster.Len(), now),
	}, now)
}

// observeRestoreError causes a complete listing if a call failed because the store was
// restored.
func (r *Registry) observeRestoreError(err error) {
	var e *store.Error
	if errors.As(err, &e) && e.Failure == store.Restored {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.observeEpoch(e.Epoch)
	}
}

// leaseTooShort reports whether the lease is for a smaller fleet than the known one. A
// host that registers before it knows the fleet asks for the shortest lease, and for
// another one as soon as it knows the fleet.
func (r *Registry) leaseTooShort() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.needsLongerLease()
}

// needsLongerLease is leaseTooShort with mu held.
func (r *Registry) needsLongerLease() bool {
	return roster.NeedsLongerLease(r.leaseTTL, r.roster.Len())
}

// renewalInterval returns the time between two renewals of the lease.
func (r *Registry) renewalInterval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return roster.RenewalInterval(r.leaseTTL)
}

// firstRenewalDelay returns the time until the first renewal of a new lease.
func (r *Registry) firstRenewalDelay(rng *rand.Rand) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return roster.FirstRenewalDelay(r.leaseTTL, rng)
}

func (r *Registry) register(ctx context.Context) error {
	sentAt := r.now()
	r.mu.Lock()
	ttl := roster.LeaseTTL(r.roster.Len())
	r.mu.Unlock()
	g, err := r.store.GrantLease(ctx, ttl)
	if err != nil {
		return err
	}
	r.lastAnswered.record(sentAt)
	grantedAt := sentAt
	sentAt = r.now()
	reg := roster.Registration{Host: r.self, Epoch: g.Lease.Epoch, ConfigVersion: r.configVersion()}
	revision, err := r.store.Commit(ctx, store.Txn{Writes: []store.Write{{Key: hostKey(r.self.Name), Value: encodeRegistration(reg), Lease: g.Lease}}})
	if err != nil {
		return err
	}
	r.lastAnswered.record(sentAt)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease, r.leaseTTL, r.leaseEnd = g.Lease, ttl, grantedAt+ttl
	r.registeredAt = revision
	r.roster.Put(reg, r.now())
	r.fleetChanged()
	r.observeEpoch(g.Lease.Epoch)
	return nil
}

// configVersion returns the version of the active configuration; zero for none.
func (r *Registry) configVersion() uint64 {
	if c := r.Catalog(); c != nil {
		return c.Version
	}
	return 0
}

// registered reports whether this host's registration is in the roster.
func (r *Registry) registered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.roster.Registered(r.self.Name)
}

// recordRegisteredAtStart records whether the first listing has a registration of this
// host from an earlier process, whose lease has not ended. It is called with mu held.
func (r *Registry) recordRegisteredAtStart() {
	own, found := r.items[hostKey(r.self.Name)]
	r.registeredAtStart = found && (r.registeredAt == 0 || own.Revision < r.registeredAt)
}

// RegisteredAtStart reports whether an earlier process of this host was still registered
// when this one first listed the store.
func (r *Registry) RegisteredAtStart() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registeredAtStart
}

// Epoch returns the newest known epoch of the store. It increases with each restore.
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

// Deregister removes the host's registration and prevents a new one, so that other
// hosts stop sending to it. A lease of an earlier epoch is not ended, since its ID may
// belong to another host.
func (r *Registry) Deregister(ctx context.Context) error {
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

// Suspect writes this host's suspicion that a member is dead.
func (r *Registry) Suspect(ctx context.Context, service, member string) error {
	key, lease := suspicionKey(service, member, r.self.Name), r.currentLease()
	_, err := r.store.Commit(ctx, store.Txn{Writes: []store.Write{{Key: key, Value: encodeSuspicion(lease.Epoch), Lease: lease}}})
	return err
}

// Trust withdraws this host's suspicion of a member.
func (r *Registry) Trust(ctx context.Context, service, member string) error {
	_, err := r.store.Commit(ctx, store.Txn{Deletes: []string{suspicionKey(service, member, r.self.Name)}})
	return err
}

// errNotRegistered refuses a lock to a host without a lease, because the lock would
// outlive its holder.
var errNotRegistered = errors.New("host has no lease to attach the promotion lock to")

// TakeLock acquires the promotion lock of a service, or rewrites this host's own lock,
// if it has not changed since known. The revision of the lock is its fencing token,
// which is higher than that of every earlier lock. After an error the lock may have
// been acquired nevertheless; a later change from the store shows it.
func (r *Registry) TakeLock(ctx context.Context, service string, known succession.Lock) (token uint64, err error) {
	lease := r.currentLease()
	if lease.IsZero() {
		return 0, errNotRegistered
	}
	write := store.Write{Key: lockKey(service), Value: []byte(r.self.Name), Lease: lease}
	revision, err := r.replaceUnchanged(ctx, write, known.Revision)
	if err != nil {
		return 0, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	lock := succession.Lock{Holder: r.self.Name, Revision: revision}
	if r.coordination.locks[service].Revision < revision {
		r.coordination.locks[service] = lock
	}
	return lock.Token(), nil
}

// AbandonLease drops the lease without ending it, so that it expires as after a crash.
func (r *Registry) AbandonLease() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease = store.Lease{}
}
