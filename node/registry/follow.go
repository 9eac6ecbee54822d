package registry

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/relay"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// Update is a message from a relay to a follower: changes, or a complete listing.
type Update struct {
	store.Listing
	// Complete is set for a complete listing: keys that it lacks do not exist.
	Complete bool
	// Age is the time since the store last answered the relay, or the relay that it
	// follows; zero from a host of an earlier release.
	Age time.Duration
}

// FollowFunc receives updates after a revision from the host at an address. It calls
// apply for each update and returns when the stream ends, with a *RelayRefusedError if
// the other host ended it. With changesOnly it returns ErrChangesMissing in place of a
// complete listing of the same epoch.
type FollowFunc func(ctx context.Context, address string, after store.Revision, changesOnly bool, apply func(Update)) error

// ErrChangesMissing ends the stream of a follower that lacks changes which the relay does
// not keep. A complete listing of a large store for each follower would take a relay's
// link for longer than a change may take; the follower's missing changes are few.
var ErrChangesMissing = errors.New("the relay does not keep all changes after the follower's revision")

// RelayRefusedError reports a relay that refused or ended the stream itself, for example
// because it has no recent data of the store.
type RelayRefusedError struct{ Err error }

func (e *RelayRefusedError) Error() string { return e.Err.Error() }

func (e *RelayRefusedError) Unwrap() error { return e.Err }

// errRelayTimeout ends the stream of a relay that sends neither updates nor heartbeats.
var errRelayTimeout = errors.New("relay sent no update or heartbeat within the timeout")

// errNoStoreContact refuses a follower while this host has no recent contact with the
// store.
var errNoStoreContact = errors.New("this host does not follow the store at present")

// maxHistoryItems bounds the changes that a relay keeps for followers that reconnect. A
// follower that lacks more receives a complete listing.
const maxHistoryItems = 2000

// followRelay receives updates from another host until the stream ends.
func (r *Registry) followRelay(outer context.Context, host gates.Host) {
	ctx, cancel := context.WithCancelCause(outer)
	defer cancel(nil)
	watchdog := time.AfterFunc(relay.HeartbeatTimeout, func() { cancel(errRelayTimeout) })
	defer watchdog.Stop()
	r.mu.Lock()
	after := r.revision
	// A follower that does not reach the store has no other source for a listing.
	changesOnly := !r.link.Unreachable()
	r.link.Follow(host.Name)
	r.mu.Unlock()
	eventlog.RelayFollowed.Info(r.log).Str("peer", host.Name).Stringer("revision", after).Send()
	err := r.followHost(ctx, host.Address, after, changesOnly, func(u Update) {
		watchdog.Reset(relay.HeartbeatTimeout)
		if err := r.applyUpdate(u); err != nil {
			cancel(err)
		}
	})
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	eventlog.RelayLost.Info(r.log).Str("peer", host.Name).Err(err).Send()
	var refused *RelayRefusedError
	if errors.Is(err, ErrChangesMissing) {
		r.mu.Lock()
		r.link.RelayLacksChanges()
		r.mu.Unlock()
		clock.Sleep(outer, rand.N(relay.FailoverDelay))
		return
	}
	r.mu.Lock()
	r.link.RelayLost()
	r.mu.Unlock()
	r.relayFailed(host.Name, errors.As(err, &refused))
	clock.Sleep(outer, relay.FailoverDelay+rand.N(relay.FailoverDelay))
}

// relayFailed keeps this host from following another one for a while, which has refused it
// or did not answer.
func (r *Registry) relayFailed(host string, refused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.relaySelector.MarkFailed(host, refused, r.now())
}

// applyUpdate applies an update of a relay. It returns errOlderEpoch for a complete
// listing of an older epoch than the local copy's.
func (r *Registry) applyUpdate(u Update) error {
	if u.Complete {
		return r.replaceAged(u.Listing, u.Age)
	}
	r.applyAged(u.Listing, u.Age)
	return nil
}

// pickRelay returns the relay to follow; false if this host has to use the store itself.
func (r *Registry) pickRelay() (gates.Host, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.followHost == nil || r.leaving || !r.link.MayFollow() {
		return gates.Host{}, false
	}
	return r.relaySelector.Pick(r.currentFleet().hosts, r.now())
}

// StreamUpdates sends a follower the changes after a revision, until the context ends
// or this host loses contact with the store. An update without items is a heartbeat. With
// changesOnly it fails with ErrChangesMissing in place of a complete listing of the
// follower's epoch.
func (r *Registry) StreamUpdates(ctx context.Context, after store.Revision, changesOnly bool, send func(Update) error) error {
	r.countFollowers(1)
	defer r.countFollowers(-1)
	heartbeat := time.NewTicker(relay.HeartbeatInterval)
	defer heartbeat.Stop()
	r.logFollowerAhead(after)
	for {
		u, changed, err := r.updateAfter(after)
		if err != nil {
			return err
		}
		if u.Complete && changesOnly && after.Epoch() == u.Revision.Epoch() {
			return ErrChangesMissing
		}
		if err := send(u); err != nil {
			return err
		}
		r.countSent(len(u.Items))
		after = u.Revision
		select {
		case <-changed:
		case <-heartbeat.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// logFollowerAhead logs a follower that has a newer revision than this host.
func (r *Registry) logFollowerAhead(after store.Revision) {
	r.mu.Lock()
	revision := r.revision
	r.mu.Unlock()
	if after > revision {
		eventlog.FollowerAhead.Warn(r.log).Stringer("after", after).Stringer("revision", revision).Send()
	}
}

func (r *Registry) countFollowers(delta int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.followers += delta
}

// Followers returns how many hosts follow this one.
func (r *Registry) Followers() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.followers
}

// hasRecentContact reports whether this host has recent data from the store or from its
// relay. It is called with mu held.
func (r *Registry) hasRecentContact() bool {
	return r.link.Recent(r.now(), r.pacing.WatchWait+relay.StoreAnswerGrace)
}

// updateAfter returns the changes after a revision, and a channel that is closed at the
// next change.
func (r *Registry) updateAfter(after store.Revision) (Update, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.hasRecentContact() {
		return Update{}, nil, errNoStoreContact
	}
	if after.Epoch() > r.revision.Epoch() {
		r.observeEpoch(after.Epoch())
		return Update{}, nil, errOlderEpoch
	}
	u := Update{Age: r.link.Age(r.now())}
	switch {
	case after >= r.revision:
		// A follower that watched the store itself may be ahead briefly.
		u.Revision = after
	case after < r.historyStart:
		u.Listing, u.Complete = r.itemsAfter(0), true
	default:
		u.Listing = r.historyAfter(after)
	}
	return u, r.historyChanged, nil
}

// historyAfter returns the changes that the history has after a revision. It is called
// with mu held.
func (r *Registry) historyAfter(after store.Revision) store.Listing {
	l := store.Listing{Revision: r.revision}
	for _, i := range r.history {
		if i.Revision > after {
			l.Items = append(l.Items, i)
		}
	}
	return l
}

// relayedListing returns the local copy if it comes from a relay; false if this host
// uses the store itself.
func (r *Registry) relayedListing() (store.Listing, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link.UsesStore() {
		return store.Listing{}, false
	}
	return r.itemsAfter(0), true
}

// appendHistory keeps changes for followers and notifies them. It is called with mu
// held.
func (r *Registry) appendHistory(items []store.Item) {
	r.history = append(r.history, items...)
	if excess := len(r.history) - maxHistoryItems; excess > 0 {
		r.historyStart = r.history[excess-1].Revision
		r.history = append([]store.Item(nil), r.history[excess:]...)
	}
	r.notifyFollowers()
}

// appendListing keeps the differences of a new listing from the local copy of before for
// followers, so that they do not need a complete listing after each one of the relay. It
// is called with mu held.
func (r *Registry) appendListing(previous map[string]store.Item, revision store.Revision) {
	var changes []store.Item
	for key, i := range r.items {
		before, known := previous[key]
		_, isMember := r.docs.MemberID(key)
		if isMember && r.entryChanged(before, known, i) || !isMember && (!known || before.Revision != i.Revision) {
			changes = append(changes, i)
		}
	}
	for key := range previous {
		if _, listed := r.items[key]; !listed {
			changes = append(changes, store.Item{Key: key, Revision: revision, Deleted: true})
		}
	}
	slices.SortFunc(changes, func(a, b store.Item) int { return cmp.Compare(a.Revision, b.Revision) })
	if len(changes) > 0 {
		r.appendHistory(changes)
	}
}

// resetHistory drops the history, so that followers receive a complete listing. It is
// called with mu held.
func (r *Registry) resetHistory() {
	r.history, r.historyStart = nil, r.revision
	r.notifyFollowers()
}

func (r *Registry) notifyFollowers() {
	close(r.historyChanged)
	r.historyChanged = make(chan struct{})
}
