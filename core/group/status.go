// Package group decides, for one database group, which member is its primary,
// which writes are safe to acknowledge, and how stale a replica can be. It is
// used for PostgreSQL groups, which the hosts promote themselves; package
// core/succession serves the users' platform, which carries out promotions.
//
// It is a pure state machine: its inputs are statuses, replies and times, and its
// outputs are actions. Several hosts run it concurrently for the same group.
// Safety depends only on the terms that the members grant, not on clocks,
// leases or membership.
package group

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// Status is a member's answer to a probe.
type Status struct {
	Member string
	// GrantedTerm is the newest term that the member has granted. The member
	// rejects entries and orders of older terms.
	GrantedTerm logpos.Term
	// Primary reports whether the member acts as the primary of GrantedTerm.
	Primary bool
	// Follows is the term of the primary that it replicates from, or zero.
	Follows logpos.Term
	// Last is the position of the newest entry in its log. Its term may be
	// older than GrantedTerm.
	Last logpos.Position
	// Applied is the position up to which reads on the member see the log. It
	// is not past Last.
	Applied logpos.Position
	// History lists the forks of the log.
	History logpos.History
	// Acks are the positions that the replicas have acknowledged to a primary
	// in its own term. Only a primary reports them.
	Acks []Ack
	// SincePrimaryContact is the time since the last contact with the primary
	// it follows.
	SincePrimaryContact time.Duration
	// Change is incremented when Acks or GrantedTerm change, for long polling.
	Change uint64
}

// Ack is a replica's acknowledgement as reported by its primary. The replica
// sent it before it granted any newer term.
type Ack struct {
	Member string
	Last   logpos.Position
}
