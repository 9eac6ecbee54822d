package registry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/directory"
	"github.com/dotterelswitch/dotterelswitch/core/membership"
	"github.com/dotterelswitch/dotterelswitch/core/relay"
	"github.com/dotterelswitch/dotterelswitch/core/retry"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/core/storelink"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

const (
	// listTimeout bounds a listing of the members' entries.
	listTimeout = 3 * time.Second
	// relistDelay is the delay after which the members are listed again to find out
	// whether missing entries are back.
	relistDelay = directory.GracePeriod + 50*time.Millisecond
)

// Run keeps the local copy up to date, from the store or from a relay, until the
// context ends.
func (r *Registry) Run(ctx context.Context) {
	rng := r.newRand()
	attempt := 0
	for ctx.Err() == nil {
		if host, follows := r.pickRelay(); follows {
			r.followRelay(ctx, host)
			continue
		}
		err := r.syncOnce(ctx)
		if err == nil || ctx.Err() != nil {
			attempt = 0
			continue
		}
		r.markUnreachable(err)
		clock.Sleep(ctx, r.backoffAfter(attempt, err).Delay(attempt, rng))
		attempt++
	}
}

// newRand returns a random number generator whose seed differs between hosts, even if
// a whole fleet starts at the same moment.
func (r *Registry) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(uint64(r.now()), membership.Score(r.self.Zone, r.self.Name)))
}

// backoffAfter returns the backoff that applies after a number of failed calls.
func (r *Registry) backoffAfter(attempt int, err error) retry.Backoff {
	return r.pacing.Backoff(r.role(), r.Catalog() != nil, store.Is(err, store.Throttled), attempt)
}

// role returns for whom this host watches the store.
func (r *Registry) role() storelink.Role {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.followHost == nil:
		return storelink.Alone
	case !r.link.RelistDue() && !r.relaySelector.MayRelay(r.currentFleet().hosts):
		return storelink.AwaitingRelay
	case r.usesRelays():
		return storelink.Relay
	}
	return storelink.Alone
}

// usesRelays reports whether the hosts of the fleet follow relays. It is called with mu
// held.
func (r *Registry) usesRelays() bool {
	return r.followHost != nil && r.roster.Len() > relay.MaxFleetWithoutRelays
}

// syncOnce makes one call to the store: a complete listing, or a watch from the
// current revision.
func (r *Registry) syncOnce(ctx context.Context) error {
	r.mu.Lock()
	r.link.UseStore()
	after, relist, first, catchUp := r.revision, r.link.RelistDue(), r.catalog == nil, r.link.TakeCatchUp()
	r.mu.Unlock()
	if relist {
		list := r.listAgain
		if first {
			list = r.listForStart
		}
		l, err := list(ctx)
		if err != nil {
			return err
		}
		return r.replace(l)
	}
	start := r.now()
	wait := r.pacing.WatchWait
	if catchUp {
		wait = 0
	}
	l, err := r.watchStore(ctx, after, wait)
	if r.relistDue() {
		return nil
	}
	if store.Is(err, store.Oversized) {
		r.readConfig(ctx)
		r.requireRelist(err)
		return nil
	}
	if store.Is(err, store.Compacted) || store.Is(err, store.Restored) {
		r.requireRelist(err)
		return nil
	}
	if err != nil {
		eventlog.WatchFailed.Info(r.log).Err(err).Stringer("revision", after).Dur("elapsed_ms", r.now()-start).Send()
		return err
	}
	r.apply(l)
	if catchUp {
		return nil
	}
	spacing := r.pacing.WatchSpacing(r.role())
	if elapsed := r.now() - start; elapsed < spacing {
		clock.Sleep(ctx, spacing-elapsed)
	}
	return nil
}

// watchStore waits for changes of the store until its timeout is over or observeEpoch
// cancels it.
func (r *Registry) watchStore(ctx context.Context, after store.Revision, wait time.Duration) (store.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, r.pacing.WatchTimeout)
	defer cancel()
	r.mu.Lock()
	r.cancelWatch = cancel
	r.mu.Unlock()
	return r.store.Watch(ctx, "", after, wait)
}

func (r *Registry) relistDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.link.RelistDue()
}

// observeEpoch causes a complete listing if the store has been restored from a backup,
// since a watch in progress may not report it. It is called with mu held.
func (r *Registry) observeEpoch(epoch store.Epoch) {
	if epoch > r.revision.Epoch() && r.link.RestoreObserved() && r.cancelWatch != nil {
		r.cancelWatch()
	}
}

// readConfig reads the configuration by itself, before a listing of a store that holds so
// much that a change would be late. The listing reads it again if this fails.
func (r *Registry) readConfig(ctx context.Context) {
	l, err := r.store.Range(ctx, r.docs.ConfigKey(), nil)
	if err != nil {
		r.log.Debug().Err(err).Msg("reading the configuration failed")
		return
	}
	for _, i := range l.Items {
		if i.Key != r.docs.ConfigKey() {
			continue
		}
		if next, ok := r.decodeConfig(i.Value); ok {
			r.mu.Lock()
			r.activateConfig(next, i.Value)
			r.mu.Unlock()
			r.changed()
		}
	}
}

// requireRelist causes a complete listing after a watch failed because its revision
// was compacted, its changes were too large or the store was restored.
func (r *Registry) requireRelist(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.link.HistoryLost()
	eventlog.HistoryLost.Info(r.log).Err(err).Stringer("revision", r.revision).Send()
}
