package registry

import (
	"context"
	"errors"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/bootstrap"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/relay"
	"github.com/dotterelswitch/dotterelswitch/core/store"
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

// listForStart returns the content of the store for a host that has just started. Where
// the store names sources, it comes from one of them, or this host is one. Elsewhere, after
// the first page of a large store, the host looks for a source or becomes one.
//
// Only the small call that comes first is hedged. A fleet whose hosts repeat listings that
// the store's link does not carry in time would not come to rest.
func (r *Registry) listForStart(ctx context.Context) (store.Listing, error) {
	if r.fetchSnapshot == nil {
		return r.listHedged(ctx, "")
	}
	read, err := r.listHedged(ctx, sourcesKey(r.self.Zone))
	if err != nil {
		return store.Listing{}, err
	}
	record := r.sourcesIn(read.Items, r.self.Zone)
	recent := func(at store.Revision) bool { return at.Epoch() >= read.Revision.Epoch() }
	if record.Revision == 0 {
		return r.listWithoutRecord(ctx, recent)
	}
	return r.copyOrList(ctx, record, recent)
}

// copyOrList returns the copy of a source, or a listing of the store once this host is a
// source itself.
func (r *Registry) copyOrList(ctx context.Context, record bootstrap.Record, recent func(at store.Revision) bool) (store.Listing, error) {
	if l, copied, err := r.copyOrPlace(ctx, record, recent); copied || err != nil {
		return l, err
	}
	return r.list(ctx, nil)
}

// listWithoutRecord lists a store that has no record of sources. After the first page of a
// large one it goes on only as a source, or returns the copy of one.
func (r *Registry) listWithoutRecord(ctx context.Context, recent func(at store.Revision) bool) (store.Listing, error) {
	outer := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var found *listingResult
	searched := false
	l, err := r.list(ctx, func(more bool) {
		if !more || searched {
			return
		}
		searched = true
		if l, copied, err := r.copyOrPlace(outer, bootstrap.Record{}, recent); copied || err != nil {
			found = &listingResult{l, err}
			cancel()
		}
	})
	if found != nil {
		return found.listing, found.err
	}
	return l, err
}

// list lists the whole store.
func (r *Registry) list(ctx context.Context, onPage func(more bool)) (store.Listing, error) {
	start, pages := r.now(), 0
	l, err := r.store.Range(ctx, "", func(more bool) {
		pages++
		if onPage != nil {
			onPage(more)
		}
	})
	r.logListed("", listingResult{l, err}, 1, pages, start)
	return l, err
}

// listAgain returns the content of the store for a host that may have missed changes. In a
// large fleet the sources list the store, and the others take the copy of one that has done
// so: all hosts of a fleet lose their history together.
func (r *Registry) listAgain(ctx context.Context) (store.Listing, error) {
	if r.fetchSnapshot == nil || !relay.UsesSources(r.Fleet()) {
		return r.store.Range(ctx, "", nil)
	}
	// A short listing tells the revision from which on a copy lacks nothing.
	record, revision, err := r.readSources(ctx)
	if err != nil {
		return store.Listing{}, err
	}
	return r.copyOrList(ctx, record, func(at store.Revision) bool { return at >= revision })
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
