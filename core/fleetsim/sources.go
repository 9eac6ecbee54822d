package fleetsim

import (
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/bootstrap"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/relay"
)

const (
	// hedgeDelay and maxHedgedCalls are those of a host (node/registry).
	hedgeDelay     = 300 * time.Millisecond
	maxHedgedCalls = 5
	// snapshotTimeout bounds the time in which a source sends its copy.
	snapshotTimeout = time.Second
	// recordBytes is the size of the answer with the record of a zone's sources.
	recordBytes = 400
)

// listOrCopy obtains the content of the store as a host does that starts or may have missed
// changes: from a source of its zone, or from the store if it is one.
func (h *host) listOrCopy() {
	if h.config > 0 && !relay.UsesSources(h.fleet()) {
		h.list(nil)
		return
	}
	h.readRecord(func(record bootstrap.Record, revision int) {
		atLeast := 0
		if h.config > 0 {
			atLeast = revision
		}
		if record.Revision != 0 || h.config > 0 {
			h.copyOrPlace(record, atLeast, func() { h.list(nil) })
			return
		}
		h.list(func(proceed func()) { h.copyOrPlace(record, atLeast, proceed) })
	})
}

// readRecord reads the record of the host's zone with a small call.
func (h *host) readRecord(done func(record bootstrap.Record, revision int)) {
	var record bootstrap.Record
	revision := 0
	h.callHedged(func() int {
		record, revision = h.store.sources[h.zone], h.store.revision()
		return recordBytes
	}, func() { done(record, revision) }, h.callFailed)
}

// callHedged makes a call that reads, and again beside it while it is not answered.
func (h *host) callHedged(content func() int, done, failed func()) {
	outstanding, ended := 0, false
	var send func()
	send = func() {
		if ended || outstanding == maxHedgedCalls {
			return
		}
		outstanding++
		h.store.call(h, false, content, func(ok bool) {
			h.ifRunning(func() {
				outstanding--
				if ended || !ok && outstanding > 0 {
					return
				}
				ended = true
				if ok {
					done()
					return
				}
				failed()
			})()
		})
		h.after(hedgeDelay, h.ifRunning(send))
	}
	send()
}

// copyOrPlace takes the copy of a source, or calls list once the host is a source itself.
func (h *host) copyOrPlace(record bootstrap.Record, atLeast int, list func()) {
	h.searchOn(bootstrap.NewSearch(h.self, record, h.now), atLeast, list)
}

func (h *host) searchOn(search *bootstrap.Search, atLeast int, list func()) {
	next := h.ifRunning(func() { h.searchOn(search, atLeast, list) })
	switch search.Next(h.now) {
	case bootstrap.List:
		h.skipGone(search)
		list()
	case bootstrap.Read:
		h.after(bootstrap.RetryInterval/2+h.jitter(bootstrap.RetryInterval), h.ifRunning(func() {
			h.readRecord(func(record bootstrap.Record, _ int) {
				search.Update(record, h.now)
				next()
			})
		}))
	case bootstrap.Claim:
		h.after(h.jitter(bootstrap.RetryInterval), h.ifRunning(func() { h.claim(search, next) }))
	default:
		h.ask(search, search.Sources(h.now), atLeast, func() {
			search.Asked()
			h.after(bootstrap.RetryInterval/2+h.jitter(bootstrap.RetryInterval), next)
		})
	}
}

// skipGone keeps the host from following sources that do not answer.
func (h *host) skipGone(search *bootstrap.Search) {
	for _, gone := range search.Gone() {
		h.chooser.MarkFailed(gone, false, h.now)
	}
}

// claim enters the host into the record of its zone, unless that has changed meanwhile.
func (h *host) claim(search *bootstrap.Search, next func()) {
	var written bootstrap.Record
	h.store.call(h, true, func() int {
		if current := h.store.sources[h.zone]; current.Revision != search.Record().Revision {
			written = current
			return recordBytes
		}
		h.store.writeSources(h.zone, search.Claimed(h.now))
		written = h.store.sources[h.zone]
		return 0
	}, func(ok bool) {
		h.ifRunning(func() {
			if !ok {
				h.callFailed()
				return
			}
			search.Update(written, h.now)
			next()
		})()
	})
}

// ask asks one source after the other for a copy of at least a revision.
func (h *host) ask(search *bootstrap.Search, sources []gates.Host, atLeast int, none func()) {
	if len(sources) == 0 {
		none()
		return
	}
	source, ended := h.named(sources[0]), false
	end := func(answered bool) {
		if ended {
			return
		}
		ended = true
		if answered {
			search.Answered(source.self.Name, h.now)
		} else {
			search.Silent(source.self.Name, h.now)
		}
		h.ask(search, sources[1:], atLeast, none)
	}
	h.after(snapshotTimeout, h.ifRunning(func() { end(false) }))
	h.transmit(&h.port, &source.port, 0, h.ifRunning(func() {
		if source.dead {
			return
		}
		st := h.store
		bytes := st.members*entryBytes + st.registeredHosts()*registrationBytes
		sent := bytes/copyCompression + st.configBytes/configCompression
		if !source.running {
			h.transmit(&source.port, &h.port, 0, h.ifRunning(func() { end(false) }))
			return
		}
		if !source.isRecent() || source.revision < atLeast || !source.pacer.Admit(sent, h.now) {
			h.transmit(&source.port, &h.port, 0, h.ifRunning(func() { end(true) }))
			return
		}
		revision := source.revision
		h.transmit(&source.port, &h.port, sent, h.ifRunning(func() {
			if !ended {
				ended = true
				h.skipGone(search)
				h.listed(revision, bytes+st.configBytes)
			}
		}))
	}))
}

// maintainSources keeps the record of the zone in line with the running fleet, if the host
// ranks first in it.
func (h *host) maintainSources() {
	fleet := h.fleet()
	sources := relay.Sources(h.self, fleet)
	if len(sources) == 0 || sources[0].Name != h.self.Name {
		return
	}
	record := h.store.sources[h.zone]
	if record.SameSources(sources) {
		return
	}
	h.store.call(h, true, func() int {
		if h.store.sources[h.zone].Revision == record.Revision {
			h.store.writeSources(h.zone, slices.Clone(sources))
		}
		return 0
	}, func(bool) {})
}
