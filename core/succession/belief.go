// Package succession decides which member of a group is its primary, when the
// primary is replaced, and by whom.
//
// The platform orders promotions and fences them, so no majority of members is
// asked. What is left to decide is whether enough hosts have lost the primary,
// and which replica holds the most of its log.
package succession

import (
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/store"
)

// Belief is what one host takes to be the primary of one group. It is not safe
// for concurrent use.
type Belief struct {
	id string
	// proven is the member that proved its lead in the newest term, unless it has
	// denied it since; empty where this host has no proof of that term. A term has
	// one primary, so whoever else claims the lead in it does not have it.
	proven string
	// lost is the member that denied its lead last.
	lost string
	// term is the newest term in which a member proved its lead to this host.
	term logpos.Term
	// revision is the version of the directory entry behind the newest claim.
	revision store.Revision
}

// Primary returns the member believed to be the primary, or the empty string.
func (b *Belief) Primary() string { return b.id }

// Proven returns the member that proved its lead in the newest term, or the empty
// string.
func (b *Belief) Proven() string { return b.proven }

// LeadOf returns the term in which a member leads that has just shown a position
// as a primary. A new primary shows a position of an older term until it has
// written.
func (b *Belief) LeadOf(id string, p logpos.Position) logpos.Term {
	if b.proven == id {
		return max(b.term, p.Term)
	}
	return p.Term
}

// Term returns the newest term that was proved.
func (b *Belief) Term() logpos.Term { return b.term }

// Claimed notes a directory entry in which a member calls itself primary since
// the given version. Claims are heard in the order of their versions.
func (b *Belief) Claimed(id string, revision store.Revision) {
	if revision > b.revision {
		b.revision, b.id = revision, id
	}
}

// Resigned notes a directory entry in which a member calls itself a replica, or
// that it is gone. A member that has proved its lead is believed again when one
// that only claimed to have it does not: an entry may name a member that is not
// there any more, and hosts would be without a primary for as long as it stands.
func (b *Belief) Resigned(id string) {
	if b.proven == id {
		b.proven = ""
	}
	if b.id == id {
		b.id = b.proven
	}
}

// Denied notes that a member refused, as a replica, what only a primary does.
func (b *Belief) Denied(id string) {
	b.lost = id
	b.Resigned(id)
}

// Proved notes an exchange that only the primary of the given term can have.
// An answer of an older term came late and changes nothing.
func (b *Belief) Proved(id string, term logpos.Term) {
	if term < b.term {
		return
	}
	b.id, b.proven, b.term = id, id, term
}

// Told notes that another host has such a proof. It is believed of a newer term,
// and by a host that knows no primary: one that has lost this very member, or
// has seen it deny its lead, knows more than the other host.
func (b *Belief) Told(id string, term logpos.Term) {
	if term > b.term || term == b.term && b.id == "" && b.lost != id {
		b.Proved(id, term)
	}
}
