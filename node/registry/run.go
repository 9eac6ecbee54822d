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
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

const (
	// watchWaitFraction is the wait of one watch as a fraction of
	// Config.MaxConfigApplyTime. A store that compacts its history may leave a watch
	// waiting without an answer.
	watchWaitFraction = 0.4
	// watchTimeoutFraction is the time after which a watch without an answer is given
	// up, as a fraction of Config.MaxConfigApplyTime. A store that was unresponsive never
	// answers the watches of that time. The rest of the bound is left for the longest
	// backoff and a full listing.
	watchTimeoutFraction = 0.6
	// defaultMaxConfigApplyTime applies if Config.MaxConfigApplyTime is zero.
	defaultMaxConfigApplyTime = 3 * time.Second
	// watchSpacing is the minimum time between the starts of two watches. It batches
	// bursts of changes, such as the registrations of a whole fleet that starts.
	watchSpacing = 100 * time.Millisecond
	// relayWatchSpacingFraction is the spacing of a relay's watches as a fraction of
	// Config.MaxConfigApplyTime, if that is longer than watchSpacing. In a large fleet
	// some member writes its entry at nearly any time, so each watch ends at once.
	relayWatchSpacingFraction = 0.05
	// noRelayWatchSpacing replaces watchSpacing for a host that watches the store only
	// until it finds a relay. Most hosts of a fleet are in this state during a store
	// outage, and none of them has followers.
	noRelayWatchSpacing = 500 * time.Millisecond
	// listTimeout bounds a listing of the members' entries.
	listTimeout = 3 * time.Second
	// relistDelay is the delay after which the members are listed again to find out
	// whether missing entries are back.
	relistDelay = directory.GracePeriod + 50*time.Millisecond
)

var (
	// backoff spaces calls to an unreachable store.
	backoff = retry.Backoff{Base: 100 * time.Millisecond, Max: time.Second}
	// startupBackoff spaces the first calls of a host that has no configuration yet
	// and cannot serve. It is short because any further wait delays service.
	startupBackoff = retry.Backoff{Base: 50 * time.Millisecond, Max: 200 * time.Millisecond}
	// noRelayBackoff replaces backoff for a host that awaits a relay.
	noRelayBackoff = retry.Backoff{Base: 100 * time.Millisecond, Max: 2 * time.Second}
)

// maxStartupCalls is the number of calls that are spaced by startupBackoff.
const maxStartupCalls = 20

// Run keeps the local copy up to date, from the store or from a relay, until the
// context ends.
func (r *Registry) Run(ctx context.Context) {
	rng := r.newRand()
	attempt := 0
	for ctx.Err() == nil {
		host, follows := r.pickRelay()
		r.setDirect(!follows)
		if follows {
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

// backoffAfter returns the backoff that applies after a number of failed calls. The
// startup backoff is not used for a store that throttles calls.
func (r *Registry) backoffAfter(attempt int, err error) retry.Backoff {
	if r.Catalog() == nil && attempt < maxStartupCalls && !store.Is(err, store.Throttled) {
		return startupBackoff
	}
	if r.awaitsRelay() {
		return noRelayBackoff
	}
	return backoff
}

// awaitsRelay reports whether this host watches the store only until it finds a relay.
func (r *Registry) awaitsRelay() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.followHost != nil && r.listed && !r.relaySelector.MayRelay(r.currentFleet().hosts)
}

// isRelay reports whether other hosts may follow this one, because the fleet is large
// enough for relays.
func (r *Registry) isRelay() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.followHost != nil && r.roster.Len() > relay.MaxFleetWithoutRelays
}

func (r *Registry) setDirect(direct bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.direct = direct
}

// syncOnce makes one call to the store: a complete listing, or a watch from the
// current revision.
func (r *Registry) syncOnce(ctx context.Context) error {
	r.mu.Lock()
	after, listed, first, catchUp := r.revision, r.listed, r.catalog == nil, r.catchUpDue
	r.catchUpDue = false
	r.mu.Unlock()
	if !listed {
		list := r.listAll
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
	wait := r.watchWait
	if catchUp {
		wait = 0
	}
	l, err := r.watchStore(ctx, after, wait)
	if !r.isListed() {
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
	spacing := watchSpacing
	switch {
	case r.awaitsRelay():
		spacing = noRelayWatchSpacing
	case r.isRelay():
		spacing = max(watchSpacing, r.relayWatchSpacing)
	}
	if elapsed := r.now() - start; elapsed < spacing {
		clock.Sleep(ctx, spacing-elapsed)
	}
	return nil
}

// watchStore waits for changes of the store until watchTimeout is over or observeEpoch
// cancels it.
func (r *Registry) watchStore(ctx context.Context, after store.Revision, wait time.Duration) (store.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, r.watchTimeout)
	defer cancel()
	r.mu.Lock()
	r.cancelWatch = cancel
	r.mu.Unlock()
	return r.store.Watch(ctx, "", after, wait)
}

func (r *Registry) isListed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed
}

// observeEpoch causes a complete listing if the store has been restored from a backup,
// since a watch in progress may not report it. It is called with mu held.
func (r *Registry) observeEpoch(epoch store.Epoch) {
	if !r.direct || !r.listed || epoch <= r.revision.Epoch() {
		return
	}
	r.listed = false
	if r.cancelWatch != nil {
		r.cancelWatch()
	}
}

func (r *Registry) listAll(ctx context.Context) (store.Listing, error) {
	return r.store.Range(ctx, "", nil)
}

// requireRelist causes a complete listing after a watch failed because its revision
// was compacted or the store was restored.
func (r *Registry) requireRelist(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = false
	eventlog.HistoryLost.Info(r.log).Err(err).Stringer("revision", r.revision).Send()
}
