// Package directory tracks which members of the database groups exist, from the entries
// that the members write to the platform.
//
// An entry can disappear although its member is alive: it expires while the platform is
// unavailable and is written again shortly after. So a missing entry starts a grace
// period, and the member is removed only if the entry is still missing at its end. An
// entry can also be older than what is known: the platform may be restored from a
// backup or execute a write with a delay. Members number their writes so that the
// newest can be identified.
package directory

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/store"
)

// Entry is what a member reports about itself.
type Entry struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Primary is set if the member considers itself the primary.
	Primary bool
	// Leaving is set once the member has announced its shutdown.
	Leaving bool
	// Slots is how many statements the member runs at once.
	Slots int
	// WarmUpLeft is how much longer the member is slow after its start.
	WarmUpLeft time.Duration
	// StartedAt identifies the member's incarnation; zero if the member does not report
	// it. It increases when a member restarts under the same name.
	StartedAt StartTime
	// Sequence numbers the entries that the member has written in its incarnation.
	Sequence uint64
	// Revision is the revision of the entry in the platform's store.
	Revision store.Revision
}

// StartTime is the time at which a member started, in Unix milliseconds of its own
// clock. It only distinguishes incarnations and must not be compared with other clocks.
type StartTime uint64

// Member is an entry and the state that the directory adds to it.
type Member struct {
	Entry
	// Missing is set during the grace period of a missing entry.
	Missing bool
	// RoleRevision is the revision in which the role last changed.
	RoleRevision store.Revision
	// LeavingSince is when Leaving was first seen; zero if it is not set.
	LeavingSince time.Duration
	missingSince time.Duration
	// earlierStart is the start time of the last entry if it is earlier than that of
	// the current incarnation; zero otherwise.
	earlierStart  StartTime
	restoredEntry restoredEntry
}

// SameIncarnation reports whether two entries of a member may be of the same
// incarnation. An entry without a start time does not indicate a new one.
func (e Entry) SameIncarnation(other Entry) bool {
	return e.StartedAt == other.StartedAt || e.StartedAt == 0 || other.StartedAt == 0
}

// GracePeriod is how long a missing entry is tolerated. It covers the two seconds within
// which members write their entries again once the platform is back, and delivery.
const GracePeriod = 2500 * time.Millisecond

// Directory is the set of members. It is not safe for concurrent use.
type Directory struct {
	members map[string]*Member
	// byService holds the members of each service, so that a change of one service does
	// not cost a pass over all members.
	byService map[string][]*Member
	// removed holds recently removed members, so that a listing read before the removal
	// does not reinstate them.
	removed map[string]*removal
}

// removal records when and at which revision a member was removed, and its last entry.
type removal struct {
	revision      store.Revision
	at            time.Duration
	last          Entry
	restoredEntry restoredEntry
}

// removalRetention is how long a removal is remembered. It covers a restore of the
// platform from a recent backup that still contains the member's entry.
const removalRetention = time.Minute

// reinstatedBy reports whether an entry shows that a removed member exists again. An
// entry that the member had written before its removal does not.
func (r *removal) reinstatedBy(e Entry) bool {
	if e.Revision <= r.revision || r.restoredEntry.outdated(r.last, e) {
		return false
	}
	restored := e.Revision.Epoch() > r.revision.Epoch()
	return !restored || !r.last.SameIncarnation(e) || e.Sequence != r.last.Sequence
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{members: make(map[string]*Member), byService: make(map[string][]*Member), removed: make(map[string]*removal)}
}

// Put applies an entry that was written. It reports whether anything but the revision
// and the sequence changed.
func (d *Directory) Put(e Entry, now time.Duration) bool {
	m, found := d.members[e.ID]
	if !found {
		return d.add(e, now)
	}
	if e.Revision < m.Revision || m.restoredEntry.outdated(m.Entry, e) || m.isFromEarlierIncarnation(e) {
		return false
	}
	if !m.SameIncarnation(e) {
		d.set(newMember(e, now))
		return true
	}
	if e.Service != m.Service {
		d.unindex(m)
		defer d.index(m)
	}
	if e.Primary != m.Primary {
		m.RoleRevision = e.Revision
	}
	if e.StartedAt == 0 {
		e.StartedAt = m.StartedAt
	}
	m.earlierStart = 0
	old := *m
	m.Entry, m.Missing, m.missingSince = e, false, 0
	m.updateLeavingSince(now)
	old.Revision, old.RoleRevision, old.Sequence, old.restoredEntry = m.Revision, m.RoleRevision, m.Sequence, m.restoredEntry
	return old != *m
}

func (d *Directory) add(e Entry, now time.Duration) bool {
	if previous, found := d.removed[e.ID]; found && !previous.reinstatedBy(e) {
		return false
	}
	delete(d.removed, e.ID)
	d.set(newMember(e, now))
	return true
}

// set adds a member or replaces its previous incarnation.
func (d *Directory) set(m *Member) {
	if previous, found := d.members[m.ID]; found {
		d.unindex(previous)
	}
	d.members[m.ID] = m
	d.index(m)
}

func (d *Directory) index(m *Member) {
	d.byService[m.Service] = append(d.byService[m.Service], m)
}

func (d *Directory) unindex(m *Member) {
	rest := slices.DeleteFunc(d.byService[m.Service], func(other *Member) bool { return other == m })
	if d.byService[m.Service] = rest; len(rest) == 0 {
		delete(d.byService, m.Service)
	}
}

// newMember returns a member for the first entry of an incarnation.
func newMember(e Entry, now time.Duration) *Member {
	m := &Member{Entry: e, RoleRevision: e.Revision}
	m.updateLeavingSince(now)
	return m
}

// isFromEarlierIncarnation reports whether an entry was written by an earlier
// incarnation, and records its start time if so. The store may execute such a write
// with a delay of seconds, and it must not replace the current incarnation. That
// happens at most once, so a second entry in a row with the same earlier start time
// comes from a member whose clock was set back.
func (m *Member) isFromEarlierIncarnation(e Entry) bool {
	if e.StartedAt == 0 || e.StartedAt >= m.StartedAt || e.StartedAt == m.earlierStart && e.Revision > m.Revision {
		return false
	}
	m.earlierStart, m.Revision = e.StartedAt, e.Revision
	return true
}

// HasEarlierStartTime reports whether the newest entry of a member has an earlier start
// time than the current incarnation. The next entry shows whether it was a delayed
// write or the member's clock was set back.
func (d *Directory) HasEarlierStartTime(id string) bool {
	m, found := d.members[id]
	return found && m.earlierStart != 0
}

func (m *Member) updateLeavingSince(now time.Duration) {
	if m.Leaving && m.LeavingSince == 0 {
		m.LeavingSince = max(now, 1)
	}
	if !m.Leaving {
		m.LeavingSince = 0
	}
}

// MarkMissing records that an entry is no longer on the platform. A member that was
// leaving is removed immediately.
func (d *Directory) MarkMissing(id string, revision store.Revision, now time.Duration) {
	m, found := d.members[id]
	if !found || revision < m.Revision {
		return
	}
	if m.Leaving {
		d.remove(id, revision, now)
		return
	}
	m.Revision = revision
	if !m.Missing {
		m.Missing, m.missingSince = true, now
	}
}

func (d *Directory) remove(id string, revision store.Revision, now time.Duration) {
	d.removed[id] = &removal{revision: revision, at: now, last: d.members[id].Entry}
	d.unindex(d.members[id])
	delete(d.members, id)
}

// Replace applies a complete listing: entries that are not in it are missing.
func (d *Directory) Replace(entries []Entry, revision store.Revision, now time.Duration) {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		d.Put(e, now)
	}
	for id := range d.members {
		if !listed[id] {
			d.MarkMissing(id, revision, now)
		}
	}
}

// Expire removes the members whose grace period has ended, and returns them.
func (d *Directory) Expire(now time.Duration) []Member {
	var removed []Member
	for id, m := range d.members {
		if m.Missing && now-m.missingSince >= GracePeriod {
			removed = append(removed, *m)
			d.remove(id, m.Revision, now)
		}
	}
	for id, previous := range d.removed {
		if now-previous.at >= removalRetention {
			delete(d.removed, id)
		}
	}
	return removed
}

// Members returns all members sorted by ID.
func (d *Directory) Members() []Member {
	return sortedMembers(maps.Values(d.members))
}

// MembersOf returns the members of a service sorted by ID.
func (d *Directory) MembersOf(service string) []Member {
	return sortedMembers(slices.Values(d.byService[service]))
}

// sortedMembers returns copies of members, sorted by ID.
func sortedMembers(members iter.Seq[*Member]) []Member {
	var out []Member
	for m := range members {
		out = append(out, *m)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// ServiceOf returns the service of a member; false if the member is not known.
func (d *Directory) ServiceOf(id string) (string, bool) {
	m, found := d.members[id]
	if !found {
		return "", false
	}
	return m.Service, true
}

// Len returns the number of members.
func (d *Directory) Len() int { return len(d.members) }

// ServiceCount returns the number of services that have members.
func (d *Directory) ServiceCount() int { return len(d.byService) }

// HasMissing reports whether the entry of any member is missing.
func (d *Directory) HasMissing() bool {
	for _, m := range d.members {
		if m.Missing {
			return true
		}
	}
	return false
}
