// Package group decides, for one database group, who its primary is, which
// writes are safe to acknowledge and how stale a replica can be. It is a pure
// state machine: statuses, replies and times go in, actions come out. Several
// hosts run it for the same group at once; safety rests only on the terms that
// the members themselves claim, never on clocks, leases or membership.
package group

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// Status is one member's answer to a probe.
type Status struct {
	Member string
	// Claimed is the newest term the member has granted. It accepts no entry
	// and no order of an older term.
	Claimed logpos.Term
	// Primary reports whether the member acts as the primary of Claimed.
	Primary bool
	// Follows is the term of the primary it replicates from, zero for none.
	Follows logpos.Term
	// Last is the position of the newest entry in its log. Its term may be
	// older than Claimed.
	Last logpos.Position
	// Applied is the position up to which reads on the member see the log. It
	// is at or before Last.
	Applied logpos.Position
	// History lists the forks of its log.
	History logpos.History
	// Acks are the positions that a primary's replicas have acknowledged to it
	// in its own term. Only a primary reports them.
	Acks []Ack
	// Heard is the time since it last had contact with the primary it follows.
	Heard time.Duration
	// Change counts the changes of Acks and Claimed, for waiting calls.
	Change uint64
}

// Ack is a replica's acknowledgement, as its primary reports it. The replica
// sent it while it had granted no newer term.
type Ack struct {
	Member string
	Last   logpos.Position
}
