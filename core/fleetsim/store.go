package fleetsim

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/bootstrap"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/store"
)

const (
	// storeAnswerTime is the time that the store takes for a call.
	storeAnswerTime = 4 * time.Millisecond
	// storeMbps is the rate of the store's link.
	storeMbps = 1000
	// storeWritesPerSecond and storeReadsPerSecond are the calls that the store accepts;
	// it refuses those above, counted by the second.
	storeWritesPerSecond = 3200
	storeReadsPerSecond  = 16_000
	// pageKeys is the number of keys in one answer of a listing.
	pageKeys = 500
	// entryBytes and registrationBytes are the sizes of a member's entry and a host's
	// registration in an answer of the store, with their keys and base64 values.
	entryBytes        = 310
	registrationBytes = 165
	// memberWriteInterval is the time between two entries of one member.
	memberWriteInterval = 5 * time.Second
	membersPerGroup     = 3
)

// change is what one revision of the store writes.
type change struct {
	bytes int
	// config is the version of the configuration that the change writes; zero for others.
	config int
	// relayed is set for changes that a relay sends to its followers. Entries that differ
	// in their sequence alone are not.
	relayed bool
}

// state sums up the changes until a revision.
type state struct {
	// bytes is the size of all changes, relayedBytes that of what relays send of them.
	bytes, relayedBytes int
	// config is the newest version of the configuration.
	config int
}

// registration is the time, in revisions, in which a host is registered.
type registration struct {
	since, until int
	// expiry is the end of the lease.
	expiry time.Duration
}

// neverRemoved is the until of a registration that stands.
const neverRemoved = int(^uint(0) >> 1)

// storeModel is the platform's store.
type storeModel struct {
	*scheduler
	port
	members int
	// history holds the state at each revision.
	history       []state
	registrations map[int]*registration
	// registrationChanges are the revisions at which a host was registered or removed.
	registrationChanges []int
	configBytes         int
	// sources are the records of the zones.
	sources map[int]bootstrap.Record
	waiting []func()
	// compactedAt is the newest revision that the store has forgotten; watches are not
	// answered before silentUntil.
	compactedAt int
	silentUntil time.Duration
	// refuses reports whether calls of a host are refused at present; nil for none.
	refuses func(host int) bool
	// second is the current second, writes and reads the calls in it.
	second        int
	writes, reads int
	callsBySecond map[int]int
	// tooMany counts the calls that were refused since too many came.
	tooMany int
}

func newStoreModel(s *scheduler, o Options) *storeModel {
	return &storeModel{
		scheduler: s, port: port{bytesPerSecond: bytesPerSecond(storeMbps)},
		history: make([]state, 1), registrations: map[int]*registration{}, sources: map[int]bootstrap.Record{}, callsBySecond: map[int]int{},
	}
}

// fill writes the first configuration and lets the members write their entries.
func (st *storeModel) fill(o Options) {
	st.members, st.configBytes = int(o.GroupsPerHost*float64(o.Hosts))*membersPerGroup, o.ConfigBytes
	bytes := base64Bytes(o.ConfigBytes) + st.members*entryBytes
	st.commit(change{bytes: bytes, config: 1, relayed: true})
	st.writeEntries()
}

// maxBacklog returns the longest time that an answer has waited for the link.
func (st *storeModel) maxBacklog() time.Duration { return st.duration(st.maxQueuedBytes) }

func bytesPerSecond(mbps int) float64 { return float64(mbps) * 1e6 / 8 }

func (st *storeModel) revision() int { return len(st.history) - 1 }

// commit adds a change and answers the watches that wait for one.
func (st *storeModel) commit(c change) {
	next := st.history[st.revision()]
	next.bytes += c.bytes
	switch {
	case c.config > 0:
		next.config = c.config
		next.relayedBytes += c.bytes / configCompression
	case c.relayed:
		next.relayedBytes += c.bytes
	}
	st.history = append(st.history, next)
	waiting := st.waiting
	st.waiting = nil
	for _, answer := range waiting {
		answer()
	}
}

// writeEntries lets the members write their entries, evenly over time.
func (st *storeModel) writeEntries() {
	if st.members == 0 {
		return
	}
	st.commit(change{bytes: entryBytes})
	st.after(memberWriteInterval/time.Duration(st.members), st.writeEntries)
}

// admit counts a call of a host and reports whether the store accepts it.
func (st *storeModel) admit(host int, write bool) bool {
	st.callsBySecond[int(st.now/time.Second)]++
	if st.refuses != nil && st.refuses(host) {
		return false
	}
	if second := int(st.now / time.Second); second != st.second {
		st.second, st.writes, st.reads = second, 0, 0
	}
	calls, limit := &st.reads, storeReadsPerSecond
	if write {
		calls, limit = &st.writes, storeWritesPerSecond
	}
	*calls++
	if *calls > limit {
		st.tooMany++
		return false
	}
	return true
}

// listedKeys is the number of keys that the store has.
func (st *storeModel) listedKeys() int {
	if st.configBytes == 0 {
		return st.registeredHosts()
	}
	return st.registeredHosts() + 1 + st.members
}

func (st *storeModel) registeredHosts() int {
	n := 0
	for _, r := range st.registrations {
		if r.until == neverRemoved {
			n++
		}
	}
	return n
}

// listedBytes returns the size of some keys in a listing of the store: registrations come
// first, then the configuration, then the entries of members.
func (st *storeModel) listedBytes(from, count int) int {
	registrations := st.registeredHosts()
	overlap := func(start, end int) int { return max(min(from+count, end)-max(from, start), 0) }
	return overlap(0, registrations)*registrationBytes +
		overlap(registrations, registrations+1)*base64Bytes(st.configBytes) +
		overlap(registrations+1, registrations+1+st.members)*entryBytes
}

// base64Bytes returns the size of a value in an answer of the store.
func base64Bytes(bytes int) int { return (bytes + 2) / 3 * 4 }

// compact forgets the history and answers no watch for a while.
func (st *storeModel) compact(silence time.Duration) {
	st.compactedAt, st.silentUntil, st.waiting = st.revision(), st.now+silence, nil
}

// watchResult is the end of a watch.
type watchResult int

const (
	watchAnswered watchResult = iota
	watchRefused
	// watchCompacted: the store has forgotten changes after the revision.
	watchCompacted
)

// watch sends a watch of a host: it is answered when there are changes after a revision,
// at the latest after wait.
func (st *storeModel) watch(h *host, after int, wait time.Duration, answered func(result watchResult, upTo int)) {
	reply := func(result watchResult) {
		st.reply(h, 0, func() { answered(result, after) })
	}
	st.transmit(&h.port, &st.port, 0, func() {
		switch {
		case !st.admit(h.index, false):
			reply(watchRefused)
			return
		case st.now < st.silentUntil:
			return
		case after < st.compactedAt:
			reply(watchCompacted)
			return
		}
		done := false
		answer := func() {
			if done || st.now < st.silentUntil {
				return
			}
			done = true
			upTo := st.revision()
			bytes := st.history[upTo].bytes - st.history[after].bytes
			st.after(storeAnswerTime, func() {
				st.reply(h, bytes, func() { answered(watchAnswered, upTo) })
			})
		}
		if st.revision() > after {
			answer()
			return
		}
		st.waiting = append(st.waiting, answer)
		st.after(wait, answer)
	})
}

// writeSources writes the record of a zone.
func (st *storeModel) writeSources(zone int, sources []gates.Host) {
	st.commit(change{bytes: recordBytes, relayed: true})
	st.sources[zone] = bootstrap.Record{Sources: sources, Revision: store.Revision(st.revision())}
}

// register records a host's registration with a lease, or renews it.
func (st *storeModel) register(host int, ttl time.Duration) {
	r, found := st.registrations[host]
	if !found || r.until != neverRemoved {
		st.commit(change{bytes: registrationBytes, relayed: true})
		r = &registration{since: st.revision(), until: neverRemoved}
		st.registrations[host] = r
		st.registrationChanges = append(st.registrationChanges, st.revision())
	}
	r.expiry = st.now + ttl
	st.at(r.expiry, func() { st.expire(r) })
}

// renew extends the lease of a registered host; false if it has ended.
func (st *storeModel) renew(host int, ttl time.Duration) bool {
	r, found := st.registrations[host]
	if !found || r.until != neverRemoved {
		return false
	}
	r.expiry = st.now + ttl
	st.at(r.expiry, func() { st.expire(r) })
	return true
}

func (st *storeModel) expire(r *registration) {
	if r.until != neverRemoved || st.now < r.expiry {
		return
	}
	st.commit(change{bytes: registrationBytes, relayed: true})
	r.until = st.revision()
	st.registrationChanges = append(st.registrationChanges, st.revision())
}

// registered reports whether a host is registered at a revision.
func (st *storeModel) registered(host, revision int) bool {
	r, found := st.registrations[host]
	return found && r.since <= revision && revision < r.until
}

// relayedBytes returns the size of the changes between two revisions that a relay sends
// to its followers, with the configuration compressed.
func (st *storeModel) relayedBytes(after, upTo int) int {
	return st.history[upTo].relayedBytes - st.history[after].relayedBytes
}

// configAt returns the version of the configuration at a revision.
func (st *storeModel) configAt(revision int) int { return st.history[revision].config }
