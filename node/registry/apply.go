package registry

import (
	"context"
	"errors"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/directory"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

func (r *Registry) markUnreachable(err error) {
	r.mu.Lock()
	first := r.link.Failed(r.now())
	r.mu.Unlock()
	if first {
		eventlog.PlatformUnreachable.Warn(r.log).Err(err).Send()
	}
}

// signalStoreReached lets a registration that failed before be retried without delay.
func (r *Registry) signalStoreReached() { notify(r.storeReached) }

// notify sends a signal on a channel of capacity one unless one is pending.
func notify(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// clearStoreReached discards a pending signal before a registration attempt, so that
// only later contact with the store triggers a retry.
func (r *Registry) clearStoreReached() {
	select {
	case <-r.storeReached:
	default:
	}
}

// noteReachable lets a registration that failed before be retried, and logs the end of
// an outage. It is called with mu held, before the link records the answer.
func (r *Registry) noteReachable(now time.Duration) {
	if !r.link.Unreachable() {
		return
	}
	r.signalStoreReached()
	line := eventlog.PlatformReachable.Info(r.log).Stringer("revision", r.revision)
	if r.link.HasListed() {
		line.Dur("silent_ms", r.link.SinceAnswer(now))
	}
	line.Send()
}

// errOlderEpoch reports an answer from before the store was restored from a backup,
// when this host already has data from after it.
var errOlderEpoch = errors.New("the answer is of an older epoch of the store")

// replace applies a complete listing of the store.
func (r *Registry) replace(l store.Listing) error { return r.replaceAged(l, 0) }

// replaceAged applies a complete listing of the store or of a relay, which the store
// answered an age ago. It returns errOlderEpoch for a listing of an older epoch than the
// local copy's.
func (r *Registry) replaceAged(l store.Listing, age time.Duration) error {
	now := r.now()
	r.mu.Lock()
	if l.Revision.Epoch() < r.revision.Epoch() {
		r.mu.Unlock()
		return errOlderEpoch
	}
	restored, first := r.detectRestore(l.Revision), !r.link.HasListed()
	r.noteReachable(now)
	r.countReceived(len(l.Items))
	r.coordination = newCoordinationKeys()
	r.roster.Replace(r.registrationsIn(l), l.Revision.Epoch(), now)
	r.fleetChanged()
	previous, continues := r.items, !first && l.Revision.Epoch() == r.revision.Epoch() && l.Revision >= r.revision
	r.items = make(map[string]store.Item, len(l.Items))
	var entries []directory.Entry
	for _, i := range l.Items {
		if e, ok := r.decodeEntry(i); ok {
			entries = append(entries, e)
		} else {
			r.applyOtherKey(i)
		}
		r.cacheItem(i)
	}
	r.forgetUnreadable()
	r.keepActiveConfig(l.Revision)
	r.directory.Replace(entries, l.Revision, now)
	r.expire(now)
	r.scheduleExpiry()
	// Otherwise the next renewal of the lease finds out that the registration is lost.
	if _, known := r.items[hostKey(r.self.Name)]; restored && !known {
		notify(r.registrationLost)
	}
	if first {
		if r.needsLongerLease() {
			notify(r.fleetSizeKnown)
		}
		r.recordRegisteredAtStart()
		r.signalStoreReached()
	}
	r.link.Listed(now, age)
	r.revision = l.Revision
	r.changes.All = true
	if continues {
		r.appendListing(previous, l.Revision)
	} else {
		r.resetHistory()
	}
	r.mu.Unlock()
	r.changed()
	return nil
}

// detectRestore reports, and logs, whether the store has been restored from a backup
// since the last contact. It is called with mu held.
func (r *Registry) detectRestore(next store.Revision) bool {
	if !r.link.HasListed() || next.Epoch() <= r.revision.Epoch() {
		return false
	}
	eventlog.StoreRestored.Warn(r.log).Stringer("revision", next).Stringer("was", r.revision).Send()
	return true
}

// apply applies the changes that a watch returned.
func (r *Registry) apply(l store.Listing) { r.applyAged(l, 0) }

// applyAged applies the changes that a watch or a relay returned; the store answered the
// relay an age ago. They are of the local copy's epoch: after a restore a watch fails with
// store.Restored, and a relay sends a complete listing.
func (r *Registry) applyAged(l store.Listing, age time.Duration) {
	now := r.now()
	r.mu.Lock()
	r.noteReachable(now)
	r.countReceived(len(l.Items))
	r.link.Answered(now, age)
	r.revision = max(r.revision, l.Revision)
	var changes []store.Item
	maxEffect := noEffect
	for _, i := range l.Items {
		before, known := r.items[i.Key]
		eff := r.applyChange(i, now)
		i = r.cacheItem(i)
		if eff != noEffect || r.entryChanged(before, known, i) {
			changes = append(changes, i)
		}
		maxEffect = max(maxEffect, eff)
	}
	r.scheduleRelist()
	if len(changes) > 0 {
		r.appendHistory(changes)
	}
	r.mu.Unlock()
	if maxEffect == routingChanged {
		r.changed()
	}
}

// applyChange applies one change. It is called with mu held.
func (r *Registry) applyChange(i store.Item, now time.Duration) effect {
	if id, ok := r.docs.MemberID(i.Key); ok {
		return r.applyMember(id, i, now)
	}
	if reg, ok := registrationOf(i); ok {
		r.applyRegistration(reg, i, now)
		return routingChanged
	}
	return r.applyOtherKey(i)
}

func (r *Registry) applyMember(id string, i store.Item, now time.Duration) effect {
	r.noteMember(id)
	if i.Deleted {
		r.directory.MarkMissing(id, i.Revision, now)
		return routingChanged
	}
	e, ok := r.decodeEntry(i)
	if !ok {
		// A live member overwrites the unreadable entry with its next heartbeat.
		r.directory.MarkMissing(id, i.Revision, now)
		return routingChanged
	}
	switch {
	case r.directory.Put(e, now):
		r.noteMember(id)
		return routingChanged
	case r.directory.HasEarlierStartTime(id):
		// An earlier start time is accepted only after two entries in a row, so followers
		// need both.
		return stateChanged
	default:
		return noEffect
	}
}

// entryChanged reports whether a member's entry differs from the cached one in more
// than revision and sequence. Such a change is sent to followers even if this host
// already received it from a peer. It is called with mu held.
func (r *Registry) entryChanged(before store.Item, known bool, i store.Item) bool {
	if _, ok := r.docs.MemberID(i.Key); !ok {
		return false
	}
	if !known || i.Deleted {
		return true
	}
	old, err := r.docs.Entry(before)
	if err != nil {
		return true
	}
	updated, err := r.docs.Entry(i)
	old.Revision, old.Sequence = updated.Revision, updated.Sequence
	return err != nil || old != updated
}

// decodeEntry decodes a member's entry. It reports false for other keys and for
// entries that cannot be decoded, which are logged once per revision. It is called with
// mu held.
func (r *Registry) decodeEntry(i store.Item) (directory.Entry, bool) {
	if _, ok := r.docs.MemberID(i.Key); !ok || i.Deleted {
		return directory.Entry{}, false
	}
	e, err := r.docs.Entry(i)
	return e, r.noteReadable(i, err)
}

// applyOtherKey applies a change of the configuration or of a coordination key. It is
// called with mu held.
func (r *Registry) applyOtherKey(i store.Item) effect {
	if i.Key != r.docs.ConfigKey() {
		return r.coordination.apply(i)
	}
	if i.Deleted {
		return noEffect
	}
	return r.applyConfig(i.Value)
}

// scheduleRelist lists the members again when the grace period of a missing entry is
// over. It is called with mu held.
func (r *Registry) scheduleRelist() {
	if r.relistScheduled || !r.directory.HasMissing() {
		return
	}
	r.relistScheduled = true
	time.AfterFunc(relistDelay, r.relistMembers)
}

// relistMembers lists the members again, which reinstates those whose entries are back,
// and then removes those that are missing for longer than the grace period. If the
// listing fails, no member is removed.
func (r *Registry) relistMembers() {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	l, err := r.listMembers(ctx)
	now := r.now()
	r.mu.Lock()
	r.relistScheduled = false
	if err == nil {
		var entries []directory.Entry
		for _, i := range l.Items {
			if e, ok := r.decodeEntry(i); ok {
				entries = append(entries, e)
			}
		}
		r.directory.Replace(entries, l.Revision, now)
		r.changes.All = true
		r.expire(now)
	}
	r.scheduleRelist()
	r.mu.Unlock()
	r.changed()
}

// listMembers lists the members' entries from the store, or from the local copy if this
// host follows a relay.
func (r *Registry) listMembers(ctx context.Context) (store.Listing, error) {
	if l, follows := r.relayedListing(); follows {
		return l, nil
	}
	return r.store.Range(ctx, r.docs.MemberPrefix(), nil)
}

// expire removes members whose entries are missing for longer than the grace period.
// It is called with mu held.
func (r *Registry) expire(now time.Duration) {
	for _, m := range r.directory.Expire(now) {
		r.changes.addService(m.Service)
		eventlog.UpstreamGone.Info(r.log).Str("upstream", m.ID).Str("reason", "its entry stayed away").Send()
	}
	r.scheduleRelist()
}
