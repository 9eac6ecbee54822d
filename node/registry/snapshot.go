package registry

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/relay"
	"github.com/dotterelswitch/dotterelswitch/core/store"
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

// listForStart returns the content of the store for a host that has just started. In a
// large fleet it lists only the hosts and takes the rest from one of them. What that host
// lacks is newer than its revision, so it arrives as changes after it.
func (r *Registry) listForStart(ctx context.Context) (store.Listing, error) {
	if r.fetchSnapshot == nil {
		return r.listHedged(ctx, "")
	}
	registered, err := r.listHedged(ctx, hostPrefix)
	if err != nil {
		return store.Listing{}, err
	}
	var fleet []gates.Host
	for _, reg := range registrationsIn(registered) {
		fleet = append(fleet, reg.Host)
	}
	for _, source := range relay.SnapshotSources(r.self, fleet) {
		l, err := r.snapshotFrom(ctx, source, registered.Revision.Epoch())
		if err == nil {
			eventlog.SnapshotTaken.Info(r.log).Str("peer", source.Name).Stringer("revision", l.Revision).Int("keys", len(l.Items)).Send()
			return l, nil
		}
		eventlog.SnapshotFailed.Info(r.log).Err(err).Str("peer", source.Name).Send()
	}
	return r.listHedged(ctx, "")
}

// snapshotFrom fetches the copy of another host. A copy of an older epoch is an error.
func (r *Registry) snapshotFrom(ctx context.Context, source gates.Host, epoch store.Epoch) (store.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	l, err := r.fetchSnapshot(ctx, source.Address)
	if err == nil && l.Revision.Epoch() < epoch {
		err = errOlderEpoch
	}
	return l, err
}
