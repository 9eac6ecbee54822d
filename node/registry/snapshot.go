package registry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/relay"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// snapshotTimeout bounds the time in which another host sends its copy of the store. It
// allows for a connection between regions and a few hundred KB over a slow link.
const snapshotTimeout = time.Second

// FetchSnapshotFunc fetches the copy of the store of the host at an address.
type FetchSnapshotFunc func(ctx context.Context, address string) (store.Listing, error)

// Snapshot returns the local copy of the store for a host that starts. It fails while
// this host has no recent contact with the store.
func (r *Registry) Snapshot() (store.Listing, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.hasRecentContact() {
		return store.Listing{}, errNoStoreContact
	}
	return r.itemsAfter(0), nil
}

// listForStart returns the content of the store for a host that has just started. After
// the first page of a large store it looks for a host that gives the rest.
func (r *Registry) listForStart(ctx context.Context) (store.Listing, error) {
	if r.fetchSnapshot == nil {
		return r.listHedged(ctx, "", nil)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	snapshot := make(chan store.Listing, 1)
	var looking atomic.Bool
	looked := make(chan struct{})
	// Hedged listings have their first pages at the same time: one looks, the others wait
	// for it. They wait on a channel, since a lock stops the clock of simulated time.
	pause := func() {
		if !looking.CompareAndSwap(false, true) {
			<-looked
			return
		}
		defer close(looked)
		if l, taken := r.snapshotFromFleet(ctx); taken {
			snapshot <- l
			cancel()
		}
	}
	l, err := r.listHedged(ctx, "", pause)
	select {
	case taken := <-snapshot:
		return taken, nil
	default:
		return l, err
	}
}

// snapshotFromFleet returns the copy of another host; false if the fleet is small or no
// source gives one in time. What the source lacks is newer than its revision, so it arrives
// as changes after it.
func (r *Registry) snapshotFromFleet(ctx context.Context) (store.Listing, bool) {
	registered, err := r.listHedged(ctx, hostPrefix, nil)
	if err != nil {
		eventlog.SnapshotFailed.Info(r.log).Err(err).Send()
		return store.Listing{}, false
	}
	var fleet []gates.Host
	for _, reg := range registrationsIn(registered) {
		fleet = append(fleet, reg.Host)
	}
	return r.takeSnapshot(ctx, fleet, func(at store.Revision) bool { return at.Epoch() >= registered.Revision.Epoch() })
}

// listAgain returns the content of the store for a host that may have missed changes. In a
// large fleet the hosts that may relay list the store, and the others take the copy of one
// that has done so: all hosts of a fleet lose their history together.
func (r *Registry) listAgain(ctx context.Context) (store.Listing, error) {
	fleet := r.Fleet()
	if r.fetchSnapshot == nil || !relay.AwaitsSnapshot(r.self, fleet) {
		return r.store.Range(ctx, "", nil)
	}
	// A short listing tells the revision from which on a copy lacks nothing.
	own, err := r.store.Range(ctx, hostKey(r.self.Name), nil)
	if err != nil {
		return store.Listing{}, err
	}
	if l, taken := r.takeSnapshot(ctx, fleet, func(at store.Revision) bool { return at >= own.Revision }); taken {
		return l, nil
	}
	return r.store.Range(ctx, "", nil)
}

// takeSnapshot returns the copy of a source, if its revision is recent enough; false if no
// source gives one in time.
func (r *Registry) takeSnapshot(ctx context.Context, fleet []gates.Host, recent func(at store.Revision) bool) (store.Listing, bool) {
	sources := relay.SnapshotSources(r.self, fleet)
	ctx, cancel := context.WithTimeout(ctx, relay.MaxSnapshotWait)
	defer cancel()
	for round := 0; ; round++ {
		for _, source := range sources {
			l, err := r.snapshotFrom(ctx, source, recent)
			if err == nil {
				eventlog.SnapshotTaken.Info(r.log).Str("peer", source.Name).Stringer("revision", l.Revision).Int("keys", len(l.Items)).Send()
				return l, true
			}
			// The sources of a fleet that starts at once have no copy for many rounds.
			if round == 0 {
				eventlog.SnapshotFailed.Info(r.log).Err(err).Str("peer", source.Name).Send()
			}
		}
		if !relay.AwaitsSnapshot(r.self, fleet) || !clock.Sleep(ctx, relay.SnapshotRetry) {
			return store.Listing{}, false
		}
	}
}

// errOutdatedSnapshot refuses the copy of a host that has not seen the store recently
// enough.
var errOutdatedSnapshot = errors.New("the copy of the store is outdated")

// snapshotFrom fetches the copy of another host.
func (r *Registry) snapshotFrom(ctx context.Context, source gates.Host, recent func(at store.Revision) bool) (store.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	l, err := r.fetchSnapshot(ctx, source.Address)
	if err == nil && !recent(l.Revision) {
		err = errOutdatedSnapshot
	}
	return l, err
}
