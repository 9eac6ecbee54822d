package succession

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// HighWater is the furthest position that the primary of the newest term is known
// to have reached. The log of a primary only grows while it leads a term, so one
// that shows less of it later has started again without its log: it prevents that
// such a member is taken for the primary that it was, and its reads for current.
// It is not safe for concurrent use.
type HighWater struct {
	// term is the one that the member leads.
	term     logpos.Term
	member   string
	position logpos.Position
	// heard is when the position was heard of.
	heard time.Duration
}

// Heard notes, at the time of hearing, a position that a member has reached as
// the primary of a term.
func (h *HighWater) Heard(member string, term logpos.Term, p logpos.Position, now time.Duration) {
	switch {
	case term < h.term:
	case term > h.term || member != h.member:
		*h = HighWater{term: term, member: member, position: p, heard: now}
	case h.position.Less(p):
		h.position, h.heard = p, now
	}
}

// Forgotten reports whether a position that a member shows as the primary of a
// term, in answer to something sent at the given time, is less than it has had.
// Answers may overtake each other, so only what was sent after the further
// position was heard tells.
func (h *HighWater) Forgotten(member string, term logpos.Term, p logpos.Position, sent time.Duration) bool {
	return term == h.term && member == h.member && p.Less(h.position) && sent > h.heard
}
