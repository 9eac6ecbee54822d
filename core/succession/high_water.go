package succession

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// HighWater is the furthest position that a primary of the newest term is known
// to have reached. The log of a term only grows, so a member that shows less of
// it later has started again without its log: it prevents that such a member is
// taken for the primary of the log that it had, and its reads for current. It
// is not safe for concurrent use.
type HighWater struct {
	position logpos.Position
	// heard is when the position was heard of.
	heard time.Duration
}

// Heard notes a position that a primary has reached, at the time of hearing.
func (h *HighWater) Heard(p logpos.Position, now time.Duration) {
	if h.position.Less(p) {
		h.position, h.heard = p, now
	}
}

// Forgotten reports whether a position, in answer to something sent at the given
// time, shows that the member has lost a part of the term's log. Answers may
// overtake each other, so only what was sent after the further position was
// heard tells.
func (h *HighWater) Forgotten(p logpos.Position, sent time.Duration) bool {
	return p.Term == h.position.Term && p.Offset < h.position.Offset && sent > h.heard
}
