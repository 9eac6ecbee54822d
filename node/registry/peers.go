package registry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/peerpoll"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/core/storelink"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// FetchListingFunc fetches the keys above a revision from the host at an address.
type FetchListingFunc func(ctx context.Context, address string, above store.Revision) (store.Listing, error)

// AskProgressFunc asks the host at an address what it knows. It returns nil for a host of
// an earlier release, which does not tell.
type AskProgressFunc func(ctx context.Context, address string) (*peerpoll.Progress, error)

const (
	// askProgressTimeout bounds the wait for the answers of one round. It allows for a
	// round trip between distant regions and a busy host, and ends before the next round.
	askProgressTimeout = 300 * time.Millisecond
	// fetchListingTimeout bounds the time in which another host sends changes.
	fetchListingTimeout = time.Second
)

// PollPeers asks other hosts what they know, and fetches what is newer, while this host
// reaches neither the store nor a relay or has an older configuration than another host
// has registered with, until the context ends. A peer's listing is applied as changes:
// keys that it lacks are kept.
func (r *Registry) PollPeers(ctx context.Context, ask AskProgressFunc, fetch FetchListingFunc) {
	sweep := peerpoll.NewSweep(r.self.Name)
	for ctx.Err() == nil {
		clock.Sleep(ctx, storelink.PollInterval)
		if reason := r.pollReason(r.now()); reason != noPoll {
			r.pollPeers(ctx, reason, sweep.Next(r.Fleet()), ask, fetch)
		}
	}
}

// pollReason is why other hosts are asked.
type pollReason uint8

const (
	noPoll pollReason = iota
	// configOutdated: another host has registered with a newer configuration than the
	// store had.
	configOutdated
	// noContact: neither the store nor a relay answers.
	noContact
)

func (r *Registry) pollReason(now time.Duration) pollReason {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.link.PollDue(now, r.pacing.WatchWait):
		return noContact
	case r.catalog != nil && r.roster.ConfigVersion() > r.catalog.Version:
		return configOutdated
	}
	return noPoll
}

// Progress returns what this host knows of the store.
func (r *Registry) Progress() peerpoll.Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := peerpoll.Progress{Revision: max(r.revision, r.peerRevision), ReachesStore: r.link.HasListed() && !r.link.Unreachable()}
	if r.catalog != nil {
		p.ConfigVersion = r.catalog.Version
	}
	return p
}

// pollPeers asks some hosts what they know, and fetches the changes and the configuration
// that this host lacks.
func (r *Registry) pollPeers(ctx context.Context, reason pollReason, peers []gates.Host, ask AskProgressFunc, fetch FetchListingFunc) {
	if len(peers) == 0 {
		return
	}
	own := r.Progress()
	answers := r.askPeers(ctx, own, peers, ask)
	if source, found := peerpoll.ChangesSource(own, answers); found && reason == noContact {
		r.fetchChanges(ctx, source, own.Revision, fetch)
	}
	// The changes have the configuration, unless the source was a starting host when it
	// received that.
	own = r.Progress()
	if source, found := peerpoll.ConfigSource(own, answers); found && r.fetchConfig != nil {
		ctx, cancel := context.WithTimeout(ctx, fetchConfigTimeout)
		defer cancel()
		r.fetchConfigFrom(ctx, source, own.ConfigVersion)
	}
}

// askPeers returns the answers of the hosts that answer in time.
func (r *Registry) askPeers(ctx context.Context, own peerpoll.Progress, peers []gates.Host, ask AskProgressFunc) []peerpoll.Answer {
	ctx, cancel := context.WithTimeout(ctx, askProgressTimeout)
	defer cancel()
	start := r.now()
	var (
		wg      sync.WaitGroup
		mu      sync.Mutex
		answers []peerpoll.Answer
	)
	for _, peer := range peers {
		wg.Go(func() {
			progress, err := ask(ctx, peer.Address)
			if err != nil {
				r.log.Debug().Err(err).Str("peer", peer.Name).Msg("asking a peer what it knows failed")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, peerpoll.Answer{Host: peer, Progress: progress})
		})
	}
	wg.Wait()
	r.recordSurvey(len(peers), answers)
	newest, reachStore := peerpoll.Newest(answers)
	eventlog.PeersPolled.Info(r.log).Int("asked", len(peers)).Int("answered", len(answers)).Int("reach_store", reachStore).
		Stringer("revision", newest.Revision).Uint64("version", newest.ConfigVersion).
		Stringer("own_revision", own.Revision).Uint64("own_version", own.ConfigVersion).Dur("elapsed_ms", r.now()-start).Send()
	return answers
}

func (r *Registry) recordSurvey(asked int, answers []peerpoll.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.survey.Record(asked, answers, r.now())
}

// fetchChanges fetches the changes after a revision from another host.
func (r *Registry) fetchChanges(ctx context.Context, peer gates.Host, above store.Revision, fetch FetchListingFunc) {
	ctx, cancel := context.WithTimeout(ctx, fetchListingTimeout)
	defer cancel()
	l, err := fetch(ctx, peer.Address, above)
	if err != nil {
		r.log.Debug().Err(err).Str("peer", peer.Name).Msg("fetching store changes from a peer failed")
		return
	}
	if l.Revision > above {
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
		delete(r.unreadable, i.Key)
		return i
	}
	if i.Key == r.docs.ConfigKey() {
		i = r.withActiveConfig(i)
	}
	if _, unreadable := r.unreadable[i.Key]; unreadable {
		// Followers find it unreadable without its value too.
		i.Value = nil
	}
	r.items[i.Key] = i
	return i
}
