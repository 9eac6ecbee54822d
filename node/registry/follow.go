package registry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/relay"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// News is what a relay tells: changes, or everything that there is.
type News struct {
	store.Listing
	// Complete tells that keys which are not listed do not exist.
	Complete bool
}

// FollowFunc follows another host's registry from a revision. It calls take for
// each piece of news, and returns when the stream ends: with a *RelayRefusedError
// where the other host has ended it.
type FollowFunc func(ctx context.Context, address string, after store.Revision, take func(News)) error

// RelayRefusedError reports a relay that has said itself that it does not relay at
// present.
type RelayRefusedError struct{ Err error }

func (e *RelayRefusedError) Error() string { return e.Err.Error() }

func (e *RelayRefusedError) Unwrap() error { return e.Err }

// errSilentRelay ends the stream of a relay that gives no sign of life.
var errSilentRelay = errors.New("the relay is silent")

// errNotFollowing refuses to relay what this host has not heard of for too long.
var errNotFollowing = errors.New("this host does not follow the store at present")

// historyLimit bounds the changes that a relay keeps for followers that come
// back: several seconds of the busiest days. Who lacks more is told everything.
const historyLimit = 2000

// followRelay follows another host until it fails.
func (r *Registry) followRelay(outer context.Context, host gates.Host) {
	ctx, cancel := context.WithCancelCause(outer)
	defer cancel(nil)
	watchdog := time.AfterFunc(relay.HeartbeatTimeout, func() { cancel(errSilentRelay) })
	defer watchdog.Stop()
	r.mu.Lock()
	after := r.revision
	r.followed = host.Name
	r.mu.Unlock()
	eventlog.RelayFollowed.Info(r.log).Str("peer", host.Name).Stringer("revision", after).Send()
	err := r.followHost(ctx, host.Address, after, func(n News) {
		watchdog.Reset(relay.HeartbeatTimeout)
		if err := r.takeNews(n); err != nil {
			cancel(err)
		}
	})
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	eventlog.RelayLost.Info(r.log).Str("peer", host.Name).Err(err).Send()
	var refused *RelayRefusedError
	r.mu.Lock()
	r.followed = ""
	r.relays.MarkFailed(host.Name, errors.As(err, &refused), clock.Now())
	r.mu.Unlock()
	clock.Sleep(outer, relay.FailoverDelay+rand.N(relay.FailoverDelay))
}

// takeNews takes what a relay tells. It fails on news of an older epoch than this
// host has heard of; a relay of a newer one tells everything.
func (r *Registry) takeNews(n News) error {
	if n.Complete {
		return r.replace(n.Listing)
	}
	r.apply(n.Listing)
	return nil
}

// pickRelay returns the host to follow, if this one is not to watch the store.
func (r *Registry) pickRelay() (gates.Host, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.followHost == nil || !r.listed || r.leaving {
		return gates.Host{}, false
	}
	return r.relays.Pick(r.roster.Hosts(), clock.Now())
}

// Tell tells a follower what changes after a revision, until the context ends
// or this host loses the store itself. An empty piece of news is a sign of life.
func (r *Registry) Tell(ctx context.Context, after store.Revision, send func(News) error) error {
	r.countFollowers(1)
	defer r.countFollowers(-1)
	beat := time.NewTicker(relay.HeartbeatInterval)
	defer beat.Stop()
	r.noteAhead(after)
	for {
		n, changed, err := r.newsAfter(after)
		if err != nil {
			return err
		}
		if err := send(n); err != nil {
			return err
		}
		r.countTold(len(n.Items))
		after = n.Revision
		select {
		case <-changed:
		case <-beat.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// noteAhead logs a follower that has heard of a newer revision than this host.
func (r *Registry) noteAhead(after store.Revision) {
	r.mu.Lock()
	revision := r.revision
	r.mu.Unlock()
	if after > revision {
		eventlog.FollowerAhead.Warn(r.log).Stringer("after", after).Stringer("revision", revision).Send()
	}
}

func (r *Registry) countFollowers(by int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.followers += by
}

// Followers returns how many hosts follow this one.
func (r *Registry) Followers() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.followers
}

// hears reports whether this host has lately heard of the store, by itself or
// from the host that it follows: hosts follow only those that go before them, so
// that what one hears has come from the store. A host that changes from one way to
// the other keeps its followers. It is called with mu held.
func (r *Registry) hears(now time.Duration) bool {
	if !r.listed || (r.direct && r.away) {
		return false
	}
	return now-r.heardAt <= r.wait+relay.StoreAnswerGrace
}

// newsAfter returns what changed after a revision, and a channel that is closed
// by the next change.
func (r *Registry) newsAfter(after store.Revision) (News, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.hears(clock.Now()) {
		return News{}, nil, errNotFollowing
	}
	if after.Epoch() > r.revision.Epoch() {
		r.hearOfEpoch(after.Epoch())
		return News{}, nil, errOlderEpoch
	}
	if after >= r.revision {
		// A follower that watched the store itself may be ahead for a moment.
		return News{Listing: store.Listing{Revision: after}}, r.news, nil
	}
	if after < r.historyStart {
		return News{Listing: r.newerThan(0), Complete: true}, r.news, nil
	}
	n := News{Listing: store.Listing{Revision: r.revision}}
	for _, i := range r.history {
		if i.Revision > after {
			n.Items = append(n.Items, i)
		}
	}
	return n, r.news, nil
}

// heard lists what another host has told, if this one follows it.
func (r *Registry) heard() (store.Listing, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.direct {
		return store.Listing{}, false
	}
	return r.newerThan(0), true
}

// record keeps changes for followers and wakes them. It is called with mu held.
func (r *Registry) record(items []store.Item) {
	r.history = append(r.history, items...)
	if over := len(r.history) - historyLimit; over > 0 {
		r.historyStart = r.history[over-1].Revision
		r.history = append([]store.Item(nil), r.history[over:]...)
	}
	r.wakeFollowers()
}

// forgetHistory has followers told everything. It is called with mu held.
func (r *Registry) forgetHistory() {
	r.history, r.historyStart = nil, r.revision
	r.wakeFollowers()
}

func (r *Registry) wakeFollowers() {
	close(r.news)
	r.news = make(chan struct{})
}
