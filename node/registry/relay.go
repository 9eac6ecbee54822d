package registry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// Relay asks another host what it knows of the store above a revision.
type Relay func(ctx context.Context, address string, above store.Revision) (store.Listing, error)

const (
	// relayAfter is how long the store must be away before other hosts are
	// asked: a call that was lost is made good sooner by itself.
	relayAfter = 500 * time.Millisecond
	// relayInterval spaces the questions.
	relayInterval = 500 * time.Millisecond
	// relayTimeout bounds one question.
	relayTimeout = time.Second
)

// FollowPeers brings a host up to date through others while it does not reach
// the store itself, until the context ends. What it hears adds to what it
// knows: only the store's own word makes a member gone.
func (r *Registry) FollowPeers(ctx context.Context, ask Relay) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, relayInterval)
		if above, cut := r.cutOff(clock.Now()); cut {
			r.askPeer(ctx, ask, above)
		}
	}
}

// cutOff reports whether the store has been away for long enough, and the
// newest revision that this host has heard of.
func (r *Registry) cutOff(now time.Duration) (store.Revision, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.revision, r.told), r.away && now-r.awaySince >= relayAfter
}

func (r *Registry) askPeer(ctx context.Context, ask Relay, above store.Revision) {
	fleet := r.Fleet()
	if len(fleet) == 0 {
		return
	}
	other := fleet[rand.IntN(len(fleet))]
	if other.Name == r.self.Name {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	l, err := ask(ctx, other.Address, above)
	if err != nil {
		r.log.Debug().Err(err).Str("peer", other.Name).Msg("a peer did not tell what it knows of the store")
		return
	}
	if l.Revision > above {
		r.applyRelayed(l, other.Name)
	}
}

// applyRelayed takes what another host knows.
func (r *Registry) applyRelayed(l store.Listing, from string) {
	now := clock.Now()
	r.mu.Lock()
	r.told = l.Revision
	r.newsCounts.FromPeers += len(l.Items)
	for _, i := range l.Items {
		r.takeEvent(i, now)
	}
	r.mu.Unlock()
	eventlog.RelayedBy.Info(r.log).Str("peer", from).Stringer("revision", l.Revision).Send()
	r.changed()
}

// Listing returns what this host knows of the store above a revision, for a
// host that does not reach it. It is empty while this host does not either.
func (r *Registry) Listing(above store.Revision) store.Listing {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.away || r.revision <= above {
		return store.Listing{}
	}
	return r.newerThan(above)
}

// newerThan lists the keys that were written after a revision; all of them
// after zero. It is called with mu held.
func (r *Registry) newerThan(above store.Revision) store.Listing {
	l := store.Listing{Revision: r.revision}
	for _, i := range r.items {
		if i.Revision > above {
			l.Items = append(l.Items, i)
		}
	}
	return l
}

// remember keeps an item as it was written, but for the configuration: that is the one
// in force. It returns what it keeps. It is called with mu held.
func (r *Registry) remember(i store.Item) store.Item {
	if i.Deleted {
		delete(r.items, i.Key)
		return i
	}
	if i.Key == r.docs.ConfigKey() {
		i = r.withDocument(i)
	}
	r.items[i.Key] = i
	return i
}
