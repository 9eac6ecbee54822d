package registry

import (
	"context"
	"errors"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/directory"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

func (r *Registry) noteAway(err error) {
	r.mu.Lock()
	was := r.away
	r.away = true
	if !was {
		r.awaySince = clock.Now()
	}
	r.mu.Unlock()
	if !was {
		eventlog.PlatformUnreached.Warn(r.log).Err(err).Send()
	}
}

// noteReached has the host register without delay if it could not before.
func (r *Registry) noteReached() { signal(r.reached) }

// signal makes a channel ready unless it is.
func signal(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// forgetReached drops a signal that is older than the attempt that begins now.
func (r *Registry) forgetReached() {
	select {
	case <-r.reached:
	default:
	}
}

// noteBack is called with mu held.
func (r *Registry) noteBack() {
	if r.away {
		r.away = false
		r.noteReached()
		eventlog.PlatformReached.Info(r.log).Stringer("revision", r.revision).Send()
	}
}

// errOlderEpoch is an answer that was given before the store returned from a copy,
// to a host that has heard of the store since.
var errOlderEpoch = errors.New("the answer is of an older epoch of the store")

// replace takes a complete listing. It fails on one of an older epoch than this host
// has heard of.
func (r *Registry) replace(l store.Listing) error {
	now := clock.Now()
	r.mu.Lock()
	if l.Revision.Epoch() < r.revision.Epoch() {
		r.mu.Unlock()
		return errOlderEpoch
	}
	restored := r.noteEpoch(l.Revision)
	r.noteBack()
	r.countNews(len(l.Items))
	r.own = newOwnKeys()
	r.roster.Replace(registrationsIn(l), l.Revision.Epoch(), now)
	clear(r.items)
	var entries []directory.Entry
	for _, i := range l.Items {
		if e, ok := r.decodeEntry(i); ok {
			entries = append(entries, e)
		} else {
			r.takeItem(i)
		}
		r.remember(i)
	}
	r.keepDocument(l.Revision)
	r.directory.Replace(entries, l.Revision, now)
	r.expire(now)
	r.scheduleExpiry()
	if _, known := r.items[hostKey(r.self.Name)]; restored && !known {
		signal(r.lapsed)
	}
	if r.heardAt == 0 {
		r.noteRemembered()
		r.noteReached()
	}
	r.heardAt = now
	r.revision, r.listed = l.Revision, true
	r.forgetHistory()
	r.mu.Unlock()
	r.changed()
	return nil
}

// noteEpoch reports whether the store has returned from an older copy since this
// host last heard of it, and logs it. It is called with mu held.
func (r *Registry) noteEpoch(next store.Revision) bool {
	if r.heardAt == 0 || next.Epoch() <= r.revision.Epoch() {
		return false
	}
	eventlog.StoreRestored.Warn(r.log).Stringer("revision", next).Stringer("was", r.revision).Send()
	return true
}

// apply takes the events of a watch.
func (r *Registry) apply(l store.Listing) {
	now := clock.Now()
	r.mu.Lock()
	r.noteBack()
	r.countNews(len(l.Items))
	r.heardAt = now
	r.revision = max(r.revision, l.Revision)
	var news []store.Item
	most := nothingNew
	for _, i := range l.Items {
		before, known := r.items[i.Key]
		e := r.takeEvent(i, now)
		i = r.remember(i)
		if e != nothingNew || r.changesEntry(before, known, i) {
			news = append(news, i)
		}
		most = max(most, e)
	}
	r.scheduleRecheck()
	if len(news) > 0 {
		r.record(news)
	}
	r.mu.Unlock()
	if most == rerouted {
		r.changed()
	}
}

// takeEvent takes one change. It is called with mu held.
func (r *Registry) takeEvent(i store.Item, now time.Duration) effect {
	if id, ok := r.docs.MemberID(i.Key); ok {
		return r.takeMember(id, i, now)
	}
	if reg, ok := registrationOf(i); ok {
		r.takeRegistration(reg, i.Deleted, now)
		return rerouted
	}
	return r.takeItem(i)
}

func (r *Registry) takeMember(id string, i store.Item, now time.Duration) effect {
	if i.Deleted {
		delete(r.unreadable, i.Key)
		r.directory.MarkMissing(id, i.Revision, now)
		return rerouted
	}
	e, ok := r.decodeEntry(i)
	if !ok {
		// A member that is alive writes over it with its next heartbeat.
		r.directory.MarkMissing(id, i.Revision, now)
		return rerouted
	}
	switch {
	case r.directory.Put(e, now):
		return rerouted
	case r.directory.StartTimeDisputed(id):
		// Followers need both entries of an earlier start time to believe it.
		return noted
	default:
		return nothingNew
	}
}

// changesEntry reports whether a change makes a member's entry another one than
// this host was told by the store. Followers have to hear of that even if this host
// knows it already, from a host that reached the store sooner. It is called with mu
// held.
func (r *Registry) changesEntry(before store.Item, known bool, i store.Item) bool {
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
	now, err := r.docs.Entry(i)
	old.Revision, old.Sequence = now.Revision, now.Sequence
	return err != nil || old != now
}

// decodeEntry decodes a member's entry; it reports false for other keys and
// for entries that cannot be read, which are logged once a change. It is called
// with mu held.
func (r *Registry) decodeEntry(i store.Item) (directory.Entry, bool) {
	if _, ok := r.docs.MemberID(i.Key); !ok || i.Deleted {
		return directory.Entry{}, false
	}
	e, err := r.docs.Entry(i)
	if err == nil {
		delete(r.unreadable, i.Key)
		return e, true
	}
	if seen, found := r.unreadable[i.Key]; !found || seen < i.Revision {
		r.unreadable[i.Key] = i.Revision
		eventlog.EntryUnreadable.Warn(r.log).Err(err).Str("key", i.Key).Stringer("revision", i.Revision).Send()
	}
	return directory.Entry{}, false
}

// takeItem takes a key that is not a member's. It is called with mu held.
func (r *Registry) takeItem(i store.Item) effect {
	if i.Key != r.docs.ConfigKey() {
		return r.own.take(i)
	}
	if i.Deleted {
		return nothingNew
	}
	return r.takeConfig(i.Value)
}

// scheduleRecheck lists once more when the grace period of a lost entry is
// over. It is called with mu held.
func (r *Registry) scheduleRecheck() {
	if r.recheck || !r.hasMissing() {
		return
	}
	r.recheck = true
	time.AfterFunc(tidyAfter, r.relistMembers)
}

func (r *Registry) hasMissing() bool {
	for _, m := range r.directory.Members() {
		if m.Missing {
			return true
		}
	}
	return false
}

// relistMembers asks whether lost entries are back. Only the store's own word
// makes a member gone; while the store is away it stays.
func (r *Registry) relistMembers() {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	l, err := r.listMembers(ctx)
	now := clock.Now()
	r.mu.Lock()
	r.recheck = false
	if err == nil {
		var entries []directory.Entry
		for _, i := range l.Items {
			if e, ok := r.decodeEntry(i); ok {
				entries = append(entries, e)
			}
		}
		r.directory.Replace(entries, l.Revision, now)
		r.expire(now)
	}
	r.scheduleRecheck()
	r.mu.Unlock()
	r.changed()
}

// listMembers lists the members' entries: from the store, or for a host that
// follows another one, from what that one has told.
func (r *Registry) listMembers(ctx context.Context) (store.Listing, error) {
	if l, follows := r.heard(); follows {
		return l, nil
	}
	return r.store.Range(ctx, r.docs.MemberPrefix())
}

// expire drops members whose entries stayed away. It is called with mu held.
func (r *Registry) expire(now time.Duration) {
	for _, m := range r.directory.Expire(now) {
		eventlog.UpstreamGone.Info(r.log).Str("upstream", m.ID).Str("reason", "its entry stayed away").Send()
	}
	r.scheduleRecheck()
}
