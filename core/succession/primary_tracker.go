// Package succession decides which member of a group is its primary, when the
// primary is replaced, and by which host. It is used on the users' platform;
// package core/group serves PostgreSQL groups, which hosts promote themselves.
//
// The platform orders promotions and fences them, so no majority of members is
// needed. This package decides whether enough hosts suspect the primary, and
// which replica has the most advanced log.
//
// A primary is confirmed if it completed an exchange that only the primary of
// its term can complete, such as a committed write. A claim in its directory
// entry is not a confirmation.
package succession

import (
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/store"
)

// PrimaryTracker tracks which member of one group this host takes to be the
// primary. It is not safe for concurrent use.
type PrimaryTracker struct {
	primary string
	// confirmed is the member that is confirmed as the primary of the newest
	// term; empty without one, or if the member has denied it since. A term has
	// one primary, so any other claim in this term is false.
	confirmed string
	// denied holds the term in which each member last denied being the primary.
	denied map[string]logpos.Term
	// term is the newest term in which a primary was confirmed.
	term logpos.Term
	// revision is the version of the directory entry that made the newest
	// claim.
	revision store.Revision
	// replicaSince holds the newest version of each member's entry in which it was a replica.
	replicaSince map[string]store.Revision
}

// Primary returns the member taken to be the primary, or the empty string.
func (t *PrimaryTracker) Primary() string { return t.primary }

// Confirmed returns the member that is confirmed as the primary of the newest
// term, or the empty string.
func (t *PrimaryTracker) Confirmed() string { return t.confirmed }

// LeadTerm returns the term led by a member that has just reported position p
// as a primary. Until a new primary has written, its position is of an older
// term.
func (t *PrimaryTracker) LeadTerm(id string, p logpos.Position) logpos.Term {
	if t.confirmed == id {
		return max(t.term, p.Term)
	}
	return p.Term
}

// Term returns the newest term in which a primary was confirmed.
func (t *PrimaryTracker) Term() logpos.Term { return t.term }

// ObserveClaim records a directory entry, last changed at the given revision,
// in which a member claims to be the primary. Claims that are not newer than
// the last one are ignored.
func (t *PrimaryTracker) ObserveClaim(id string, revision store.Revision) {
	if revision > t.revision {
		t.revision, t.primary = revision, id
	}
}

// ObserveReplicaEntry records a directory entry, whose role last changed at the given
// revision, in which a member says that it is a replica. Other hosts that have not seen the
// entry cannot make it the primary of the present term again.
func (t *PrimaryTracker) ObserveReplicaEntry(id string, revision store.Revision) {
	if revision > t.replicaSince[id] {
		if t.replicaSince == nil {
			t.replicaSince = map[string]store.Revision{}
		}
		t.replicaSince[id] = revision
		t.deny(id)
	}
	t.ObserveResignation(id)
}

func (t *PrimaryTracker) deny(id string) {
	if t.denied == nil {
		t.denied = map[string]logpos.Term{}
	}
	t.denied[id] = t.term
}

// ObserveGone records that a member has no directory entry any more.
func (t *PrimaryTracker) ObserveGone(id string) {
	delete(t.replicaSince, id)
	delete(t.denied, id)
	t.ObserveResignation(id)
}

// ObserveResignation records that a member is a replica or has stopped. If that
// member was the primary only by its claim, the confirmed primary is restored:
// the entry of a member that no longer exists may remain for long, and must not
// leave the host without a primary.
func (t *PrimaryTracker) ObserveResignation(id string) {
	if t.confirmed == id {
		t.confirmed = ""
	}
	if t.primary == id {
		t.primary = t.confirmed
	}
}

// ClaimantOnly reports whether a member is taken to be the primary by its directory entry
// alone, while another one is confirmed.
func (t *PrimaryTracker) ClaimantOnly(id string) bool {
	return t.primary == id && t.confirmed != "" && t.confirmed != id
}

// ObserveUnreachableClaimant records that a member could not be reached. If it was the
// primary only by its claim, the confirmed primary is restored: anybody may have left the
// entry, and a member that nobody reaches is no evidence against one that has answered.
func (t *PrimaryTracker) ObserveUnreachableClaimant(id string) {
	if t.ClaimantOnly(id) {
		t.primary = t.confirmed
	}
}

// ObserveDenial records that a member, as a replica, refused what only a
// primary does.
func (t *PrimaryTracker) ObserveDenial(id string) {
	t.deny(id)
	t.ObserveResignation(id)
}

// ConfirmLeadership records an exchange that only the primary of the given term
// can complete. A confirmation in an older term is ignored.
func (t *PrimaryTracker) ConfirmLeadership(id string, term logpos.Term) {
	if term < t.term {
		return
	}
	t.primary, t.confirmed, t.term = id, id, term
}

// ObservePeerConfirmation records that another host has confirmed a primary. It
// is accepted for a newer term, and for the current one by a host that knows no
// primary unless this member has denied being the primary in that term.
func (t *PrimaryTracker) ObservePeerConfirmation(id string, term logpos.Term) {
	deniedIn, hasDenied := t.denied[id]
	denied := hasDenied && deniedIn == term
	if term > t.term || term == t.term && t.primary == "" && !denied {
		t.ConfirmLeadership(id, term)
	}
}
