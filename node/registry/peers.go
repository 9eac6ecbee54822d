package registry

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/core/storelink"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// FetchListingFunc fetches the keys above a revision from the host at an address.
type FetchListingFunc func(ctx context.Context, address string, above store.Revision) (store.Listing, error)

// peerPollTimeout bounds one poll.
const peerPollTimeout = time.Second

// PollPeers fetches changes from other hosts while this host reaches neither the store
// nor a relay, until the context ends. A peer's listing is applied as changes: keys that
// it lacks are kept.
func (r *Registry) PollPeers(ctx context.Context, fetch FetchListingFunc) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, storelink.PollInterval)
		if above, needed := r.shouldPollPeers(r.now()); needed {
			r.pollPeer(ctx, fetch, above)
		}
	}
}

// shouldPollPeers returns the newest known revision, and whether to ask peers
// for changes.
func (r *Registry) shouldPollPeers(now time.Duration) (store.Revision, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.revision, r.peerRevision), r.link.PollDue(now)
}

// pollPeer fetches changes from a randomly chosen host.
func (r *Registry) pollPeer(ctx context.Context, fetch FetchListingFunc, above store.Revision) {
	fleet := r.Fleet()
	if len(fleet) == 0 {
		return
	}
	peer := fleet[rand.IntN(len(fleet))]
	if peer.Name == r.self.Name {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerPollTimeout)
	defer cancel()
	start := r.now()
	l, err := fetch(ctx, peer.Address, above)
	eventlog.PeerPolled.Info(r.log).Err(err).Str("peer", peer.Name).Stringer("above", above).Stringer("revision", l.Revision).Dur("elapsed_ms", r.now()-start).Send()
	if err == nil && l.Revision > above {
		r.applyPeerListing(l, peer.Name)
	}
}

// applyPeerListing applies keys that a peer sent.
func (r *Registry) applyPeerListing(l store.Listing, peer string) {
	now := r.now()
	r.mu.Lock()
	r.peerRevision = l.Revision
	r.updateCounts.FromPeers += len(l.Items)
	for _, i := range l.Items {
		r.applyChange(i, now)
	}
	r.mu.Unlock()
	eventlog.ListingRelayed.Info(r.log).Str("peer", peer).Stringer("revision", l.Revision).Send()
	r.changed()
}

// Listing returns the keys above a revision, for a host that does not reach the store.
// It is empty while this host does not reach it either.
func (r *Registry) Listing(above store.Revision) store.Listing {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link.Unreachable() || r.revision <= above {
		return store.Listing{}
	}
	if above < r.historyStart {
		return r.itemsAfter(above)
	}
	// Each member writes its entry every few seconds, so nearly all keys are above any
	// revision; the history has those that differ in more than their sequence.
	l := r.historyAfter(above)
	l.Items = slices.DeleteFunc(l.Items, func(i store.Item) bool { return i.Deleted })
	return l
}

// itemsAfter returns the keys that were written after a revision; zero returns all. It
// is called with mu held.
func (r *Registry) itemsAfter(above store.Revision) store.Listing {
	l := store.Listing{Revision: r.revision}
	for _, i := range r.items {
		if i.Revision > above {
			l.Items = append(l.Items, i)
		}
	}
	return l
}

// cacheItem stores an item in the local copy and returns the stored item. The value of
// the configuration key is replaced by the active configuration. It is called with mu
// held.
func (r *Registry) cacheItem(i store.Item) store.Item {
	if i.Deleted {
		delete(r.items, i.Key)
		return i
	}
	if i.Key == r.docs.ConfigKey() {
		i = r.withActiveConfig(i)
	}
	r.items[i.Key] = i
	return i
}
