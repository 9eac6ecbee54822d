package registry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/directory"
	"github.com/dotterelswitch/dotterelswitch/core/mechanism"
	"github.com/dotterelswitch/dotterelswitch/core/membership"
	"github.com/dotterelswitch/dotterelswitch/core/retry"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

const (
	// watchShare is the part of the bound on a change of configuration for which
	// one watch waits. A store that drops its history may leave a watch waiting
	// that will never hear of a change; half of the bound leaves time to list
	// everything. Every call is paid for, so it is not shorter.
	watchShare = 0.5
	// defaultWait is the wait where no bound is known.
	defaultWait = 1500 * time.Millisecond
	// watchSpacing is the least time between two watches. A fleet that starts
	// makes an event a host, and each would cost every host a call.
	watchSpacing = 100 * time.Millisecond
	// standInSpacing is the same for a host that watches only until it has a relay
	// again, and standInBackoff spaces its calls to a store that is away. Nobody
	// hears of the store through it, and it asks other hosts for news as well. Load
	// pattern: the store resets all connections for 7 s, and nobody relays. With the
	// spacing of relays a host calls it 23 times in ten seconds, with this one 14
	// times, and 283 of 295 hosts are no relays.
	standInSpacing = 500 * time.Millisecond
	// listTimeout bounds a listing of the members.
	listTimeout = 3 * time.Second
	// tidyAfter is when a listing looks again for entries that were lost.
	tidyAfter = directory.GracePeriod + 50*time.Millisecond
)

var (
	// backoff spaces the calls to a store that is away.
	backoff = retry.Backoff{Base: 100 * time.Millisecond, Max: time.Second}
	// firstBackoff spaces the first calls of a host, which serves nobody without
	// an answer. Load pattern: all hosts lose power and come back while the store
	// is away; a second more until each of them asks again is a second more
	// without service.
	firstBackoff   = retry.Backoff{Base: 50 * time.Millisecond, Max: 200 * time.Millisecond}
	standInBackoff = retry.Backoff{Base: 100 * time.Millisecond, Max: 2 * time.Second}
)

// firstCalls is how many calls are spaced by firstBackoff: about two seconds of
// them. A store that is away for longer is not asked more often than needed.
const firstCalls = 20

// Run follows the store until the context ends.
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
		err := r.follow(ctx)
		if err == nil || ctx.Err() != nil {
			attempt = 0
			continue
		}
		r.noteAway(err)
		clock.Sleep(ctx, r.spacing(attempt, err).Delay(attempt, rng))
		attempt++
	}
}

// newRand returns a source of random numbers that is this host's own, also where a
// whole fleet starts at the same moment.
func (r *Registry) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(uint64(clock.Now()), membership.Score(r.self.Zone, r.self.Name)))
}

// spacing returns how calls are spaced after a number of failed ones. A store
// that is above its rate is not asked sooner by anyone.
func (r *Registry) spacing(attempt int, err error) retry.Backoff {
	if r.Catalog() == nil && attempt < firstCalls && !store.Is(err, store.Throttled) {
		return firstBackoff
	}
	if r.standsIn() {
		return standInBackoff
	}
	return backoff
}

// standsIn reports whether this host watches the store only until it has a relay.
func (r *Registry) standsIn() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.followHost != nil && r.listed && !r.relays.MayRelay(r.roster.Hosts())
}

func (r *Registry) setDirect(direct bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.direct = direct
}

// follow makes one call: a listing, or a watch from the last one.
func (r *Registry) follow(ctx context.Context) error {
	r.mu.Lock()
	after, listed, first := r.revision, r.listed, r.catalog == nil
	r.mu.Unlock()
	if !listed {
		list := r.listAll
		if first && r.without.Enabled(mechanism.HedgedListing) {
			list = r.listFirst
		}
		l, err := list(ctx)
		if err != nil {
			return err
		}
		return r.replace(l)
	}
	began := clock.Now()
	l, err := r.watch(ctx, after)
	if !r.isListed() {
		return nil
	}
	if store.Is(err, store.Compacted) || store.Is(err, store.Restored) {
		r.forgetRevision(err)
		return nil
	}
	if err != nil {
		return err
	}
	r.apply(l)
	spacing := watchSpacing
	if r.standsIn() {
		spacing = standInSpacing
	}
	if took := clock.Now() - began; took < spacing {
		clock.Sleep(ctx, spacing-took)
	}
	return nil
}

// watch waits for changes of the store, or until hearOfEpoch interrupts it.
func (r *Registry) watch(ctx context.Context, after store.Revision) (store.Listing, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	r.interrupt = cancel
	r.mu.Unlock()
	return r.store.Watch(ctx, "", after, r.wait)
}

func (r *Registry) isListed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed
}

// hearOfEpoch has the store listed again if it has returned from an older copy
// since this host last heard of it. A watch that waits may not tell. It is called
// with mu held.
func (r *Registry) hearOfEpoch(epoch store.Epoch) {
	if !r.direct || !r.listed || epoch <= r.revision.Epoch() {
		return
	}
	r.listed = false
	if r.interrupt != nil {
		r.interrupt()
	}
}

func (r *Registry) listAll(ctx context.Context) (store.Listing, error) {
	return r.store.Range(ctx, "")
}

// forgetRevision has everything listed again, because a watch from the revision that
// this host has heard of fails.
func (r *Registry) forgetRevision(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = false
	eventlog.HistoryLost.Info(r.log).Err(err).Stringer("revision", r.revision).Send()
}
