// Package directory decides which members of the database groups exist, from
// entries that the members keep on the platform.
//
// An entry can vanish although its member lives: it lapses while the platform
// is away and returns shortly after. So a lost entry only starts a grace
// period; an entry that is still missing at its end is gone.
package directory

import (
	"cmp"
	"slices"
	"time"
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
	// Revision is the version of the entry on the platform.
	Revision uint64
}

// Member is an entry and what the directory adds to it.
type Member struct {
	Entry
	// Missing is set during the grace period of a lost entry.
	Missing bool
	// RoleRevision is the version in which the role last changed.
	RoleRevision uint64
	// LeavingSince is when Leaving was first seen; zero while it was not.
	LeavingSince time.Duration
	lostAt       time.Duration
}

// Grace is how long a lost entry counts as missing. The platform's members are
// back within two seconds of its return; half a second is for the way here.
const Grace = 2500 * time.Millisecond

// Directory is the set of members. It is not safe for concurrent use.
type Directory struct {
	members map[string]*Member
}

// New returns an empty directory.
func New() *Directory { return &Directory{members: make(map[string]*Member)} }

// Put takes an entry as it was written. It reports whether anything but the
// revision changed.
func (d *Directory) Put(e Entry, now time.Duration) bool {
	m, found := d.members[e.ID]
	if !found {
		m = &Member{Entry: e, RoleRevision: e.Revision}
		m.noteLeaving(now)
		d.members[e.ID] = m
		return true
	}
	if e.Revision < m.Revision {
		return false
	}
	if e.Primary != m.Primary {
		m.RoleRevision = e.Revision
	}
	old := *m
	m.Entry, m.Missing, m.lostAt = e, false, 0
	m.noteLeaving(now)
	old.Revision, old.RoleRevision = m.Revision, m.RoleRevision
	return old != *m
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
func (d *Directory) Lose(id string, revision uint64, now time.Duration) {
	m, found := d.members[id]
	if !found || revision < m.Revision {
		return
	}
	if m.Leaving {
		delete(d.members, id)
		return
	}
	if !m.Missing {
		m.Missing, m.lostAt = true, now
	}
}

// Replace takes a complete listing: entries that are not in it are lost.
func (d *Directory) Replace(entries []Entry, revision uint64, now time.Duration) {
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
			delete(d.members, id)
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
