// Package succession decides which member of a group is its primary, when the
// primary is replaced, and by which host.
//
// The platform orders promotions and fences them, so no majority of members is
// needed. This package decides whether enough hosts suspect the primary, and
// which replica has the most advanced log.
package succession

import (
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/store"
)

// PrimaryTracker tracks which member of one group this host takes to be the
// primary. It is not safe for concurrent use.
type PrimaryTracker struct {
	primary string
	// proven is the member that proved its leadership in the newest term; empty
	// without such a proof, or if the member has denied it since. A term has
	// one primary, so any other claim in this term is false.
	proven string
	// lastDenied is the member that last denied being the primary.
	lastDenied string
	// term is the newest term in which a member proved its leadership to this
	// host.
	term logpos.Term
	// revision is the version of the directory entry that made the newest
	// claim.
	revision store.Revision
}

// Primary returns the member taken to be the primary, or the empty string.
func (t *PrimaryTracker) Primary() string { return t.primary }

// Proven returns the member that proved its leadership in the newest term, or
// the empty string.
func (t *PrimaryTracker) Proven() string { return t.proven }

// LeadTerm returns the term led by a member that has just reported position p
// as a primary. Until a new primary has written, its position is of an older
// term.
func (t *PrimaryTracker) LeadTerm(id string, p logpos.Position) logpos.Term {
	if t.proven == id {
		return max(t.term, p.Term)
	}
	return p.Term
}

// Term returns the newest term in which leadership was proved.
func (t *PrimaryTracker) Term() logpos.Term { return t.term }

// ObserveClaim records a directory entry, last changed at the given revision,
// in which a member claims to be the primary. Claims that are not newer than
// the last one are ignored.
func (t *PrimaryTracker) ObserveClaim(id string, revision store.Revision) {
	if revision > t.revision {
		t.revision, t.primary = revision, id
	}
}

// ObserveResignation records a directory entry in which a member says that it
// is a replica or has stopped. If that member was the primary only by its
// claim, the proven primary is restored: the entry of a member that no longer
// exists may stand for long, and must not leave the host without a primary.
func (t *PrimaryTracker) ObserveResignation(id string) {
	if t.proven == id {
		t.proven = ""
	}
	if t.primary == id {
		t.primary = t.proven
	}
}

// ObserveDenial records that a member, as a replica, refused what only a
// primary does.
func (t *PrimaryTracker) ObserveDenial(id string) {
	t.lastDenied = id
	t.ObserveResignation(id)
}

// ObserveProof records an exchange that only the primary of the given term can
// have. A proof of an older term is ignored.
func (t *PrimaryTracker) ObserveProof(id string, term logpos.Term) {
	if term < t.term {
		return
	}
	t.primary, t.proven, t.term = id, id, term
}

// ObservePeerProof records that another host has such a proof. It is accepted
// for a newer term, and for the current one by a host that knows no primary
// unless this member was the last to deny being the primary.
func (t *PrimaryTracker) ObservePeerProof(id string, term logpos.Term) {
	if term > t.term || term == t.term && t.primary == "" && t.lastDenied != id {
		t.ObserveProof(id, term)
	}
}
