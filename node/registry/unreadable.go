package registry

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// leftOutDelay is the time after which lines about unreadable entries that were left out
// are counted in the log, unless a further line has done so.
const leftOutDelay = time.Second

// noteReadable records whether an item could be decoded, and reports it. One that could not
// is logged once per revision. It is called with mu held.
func (r *Registry) noteReadable(i store.Item, err error) bool {
	if err == nil {
		delete(r.unreadable, i.Key)
		return true
	}
	if logged, found := r.unreadable[i.Key]; !found || logged < i.Revision {
		r.unreadable[i.Key] = i.Revision
		r.logUnreadable(i, err)
	}
	return false
}

// logUnreadable logs an item that could not be decoded, unless there are too many of them.
func (r *Registry) logUnreadable(i store.Item, err error) {
	leftOut, ok := r.logBudget.Allow(eventlog.EntryUnreadable, r.now())
	if !ok {
		if r.leftOutScheduled.CompareAndSwap(false, true) {
			time.AfterFunc(leftOutDelay, r.logUnreadableLeftOut)
		}
		return
	}
	eventlog.EntryUnreadable.Warn(r.log).Err(err).Str("key", eventlog.Text(i.Key)).Stringer("revision", i.Revision).Int("left_out", leftOut).Send()
}

// logUnreadableLeftOut logs how many lines about unreadable items were left out.
func (r *Registry) logUnreadableLeftOut() {
	r.leftOutScheduled.Store(false)
	if leftOut := r.logBudget.TakeSuppressed(eventlog.EntryUnreadable); leftOut > 0 {
		eventlog.EntryUnreadable.Warn(r.log).Int("left_out", leftOut).Send()
	}
}

// forgetUnreadable forgets unreadable entries that the local copy does not have any more.
// It is called with mu held.
func (r *Registry) forgetUnreadable() {
	for key := range r.unreadable {
		if _, found := r.items[key]; !found {
			delete(r.unreadable, key)
		}
	}
}
