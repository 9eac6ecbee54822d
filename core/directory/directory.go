// Package directory decides which members of the database groups exist, from
// entries that the members keep on the platform.
//
// An entry can vanish although its member lives: it lapses while the platform
// is away and returns shortly after. So a lost entry only starts a grace
// period; an entry that is still missing at its end is gone. And an entry can be
// older than what is known: the platform may return from an older copy, or carry a
// write out late. Members count what they say, so that the newest is known.
package directory

import (
	"cmp"
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/store"
)

// Entry is what a member says of itself.
type Entry struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Primary is how the member sees its own role.
	Primary bool
	// Leaving is set once the member has announced its end.
	Leaving bool
	// Slots is how many statements the member runs at once.
	Slots int
	// ColdFor is how much longer the member is slow after its start.
	ColdFor time.Duration
	// StartedAt is when the member's present life began; zero where it does not
	// tell. A member that starts again under its name has a later one.
	StartedAt StartTime
	// Sequence counts what the member has said in its present life.
	Sequence uint64
	// Revision is the version of the entry on the platform.
	Revision store.Revision
}

// StartTime is the moment at which a member started, in Unix milliseconds of
// its own clock. It tells the lives of a member apart; it is no clock to
// compare with.
type StartTime uint64

// Member is an entry and what the directory adds to it.
type Member struct {
	Entry
	// Missing is set during the grace period of a lost entry.
	Missing bool
	// RoleRevision is the version in which the role last changed.
	RoleRevision store.Revision
	// LeavingSince is when Leaving was first seen; zero while it was not.
	LeavingSince time.Duration
	lostAt       time.Duration
	// doubtful is an earlier start time that an entry has named once.
	doubtful StartTime
	copied   copied
}

// SameLife reports whether two entries of a member are of one life. An entry
// without a start time says nothing of a new one.
func (e Entry) SameLife(other Entry) bool {
	return e.StartedAt == other.StartedAt || e.StartedAt == 0 || other.StartedAt == 0
}

// Grace is how long a lost entry counts as missing. The platform's members are
// back within two seconds of its return; half a second is for the way here.
const Grace = 2500 * time.Millisecond

// Directory is the set of members. It is not safe for concurrent use.
type Directory struct {
	members map[string]*Member
	// gone holds the members that were dropped, so that a listing which was read
	// before that does not bring them back.
	gone map[string]*departure
}

// departure is when a member was dropped, the version of that news, and what it had
// said last.
type departure struct {
	revision store.Revision
	at       time.Duration
	last     Entry
	copied   copied
}

// rememberGone is how long a departure is kept: until the platform may have returned
// from a copy that is some seconds old, and has found that the member does not write
// to it.
const rememberGone = time.Minute

// bringsBack reports whether an entry shows that a member that was dropped is there.
// What it had said before, or less, does not.
func (d *departure) bringsBack(e Entry) bool {
	if e.Revision <= d.revision || d.copied.outdated(d.last, e) {
		return false
	}
	restored := e.Revision.Epoch() > d.revision.Epoch()
	return !restored || !d.last.SameLife(e) || e.Sequence != d.last.Sequence
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{members: make(map[string]*Member), gone: make(map[string]*departure)}
}

// Put takes an entry as it was written. It reports whether anything but the
// revision and the count changed.
func (d *Directory) Put(e Entry, now time.Duration) bool {
	m, found := d.members[e.ID]
	if !found {
		return d.add(e, now)
	}
	if e.Revision < m.Revision || m.copied.outdated(m.Entry, e) || m.isOfEndedLife(e) {
		return false
	}
	if !m.SameLife(e) {
		d.members[e.ID] = newMember(e, now)
		return true
	}
	if e.Primary != m.Primary {
		m.RoleRevision = e.Revision
	}
	if e.StartedAt == 0 {
		e.StartedAt = m.StartedAt
	}
	m.doubtful = 0
	old := *m
	m.Entry, m.Missing, m.lostAt = e, false, 0
	m.noteLeaving(now)
	old.Revision, old.RoleRevision, old.Sequence, old.copied = m.Revision, m.RoleRevision, m.Sequence, m.copied
	return old != *m
}

func (d *Directory) add(e Entry, now time.Duration) bool {
	if left, found := d.gone[e.ID]; found && !left.bringsBack(e) {
		return false
	}
	delete(d.gone, e.ID)
	d.members[e.ID] = newMember(e, now)
	return true
}

// newMember returns a member whose life begins with an entry.
func newMember(e Entry, now time.Duration) *Member {
	m := &Member{Entry: e, RoleRevision: e.Revision}
	m.noteLeaving(now)
	return m
}

// isOfEndedLife reports whether an entry was written by a life before the
// present one. A write of an ended life may be carried out seconds late, and
// would bring that life back until the next heartbeat. It comes once, so an
// earlier start time that is written twice in a row is a member whose clock was
// set back.
func (m *Member) isOfEndedLife(e Entry) bool {
	if e.StartedAt == 0 || e.StartedAt >= m.StartedAt || e.StartedAt == m.doubtful && e.Revision > m.Revision {
		return false
	}
	m.doubtful, m.Revision = e.StartedAt, e.Revision
	return true
}

// Doubted reports whether the newest entry of a member named an earlier start
// time than the present life's; whether that holds, the next entry tells.
func (d *Directory) Doubted(id string) bool {
	m, found := d.members[id]
	return found && m.doubtful != 0
}

func (m *Member) noteLeaving(now time.Duration) {
	if m.Leaving && m.LeavingSince == 0 {
		m.LeavingSince = max(now, 1)
	}
	if !m.Leaving {
		m.LeavingSince = 0
	}
}

// Lose notes that an entry is not on the platform any more. A member that had
// announced its end is gone at once.
func (d *Directory) Lose(id string, revision store.Revision, now time.Duration) {
	m, found := d.members[id]
	if !found || revision < m.Revision {
		return
	}
	if m.Leaving {
		d.drop(id, revision, now)
		return
	}
	m.Revision = revision
	if !m.Missing {
		m.Missing, m.lostAt = true, now
	}
}

func (d *Directory) drop(id string, revision store.Revision, now time.Duration) {
	d.gone[id] = &departure{revision: revision, at: now, last: d.members[id].Entry}
	delete(d.members, id)
}

// Replace takes a complete listing: entries that are not in it are lost.
func (d *Directory) Replace(entries []Entry, revision store.Revision, now time.Duration) {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		d.Put(e, now)
	}
	for id := range d.members {
		if !listed[id] {
			d.Lose(id, revision, now)
		}
	}
}

// Expire drops members whose entry stayed away past the grace period, and
// returns them.
func (d *Directory) Expire(now time.Duration) []Member {
	var gone []Member
	for id, m := range d.members {
		if m.Missing && now-m.lostAt >= Grace {
			gone = append(gone, *m)
			d.drop(id, m.Revision, now)
		}
	}
	for id, left := range d.gone {
		if now-left.at >= rememberGone {
			delete(d.gone, id)
		}
	}
	return gone
}

// Members returns all members in order of their ids.
func (d *Directory) Members() []Member {
	out := make([]Member, 0, len(d.members))
	for _, m := range d.members {
		out = append(out, *m)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
