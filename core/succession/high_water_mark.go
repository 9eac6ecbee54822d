package succession

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// HighWaterMark is the most advanced position that the primary of the newest
// term is known to have reached. The log of a primary only grows during its
// term, so a member that later reports less has restarted without its log, and
// must not be taken for the primary that it was. It is not safe for concurrent
// use.
type HighWaterMark struct {
	// term is the term that member leads.
	term     logpos.Term
	member   string
	position logpos.Position
	// observedAt is when position was recorded.
	observedAt time.Duration
	// logLost is set once member has reported less than position. It stays set for the
	// term: new writes move its log past position without what was lost.
	logLost bool
}

// Observe records a position that a member has reached as the primary of a
// term.
func (h *HighWaterMark) Observe(member string, term logpos.Term, p logpos.Position, now time.Duration) {
	switch {
	case term < h.term:
	case term > h.term || member != h.member:
		*h = HighWaterMark{term: term, member: member, position: p, observedAt: now}
	case h.position.Less(p):
		h.position, h.observedAt = p, now
	}
}

// Regressed reports whether a position that a member reports as the primary of
// a term, in answer to a request sent at the given time, is below the
// high-water mark. Answers may be reordered, so the answer to a request sent
// before the mark was recorded is ignored.
func (h *HighWaterMark) Regressed(member string, term logpos.Term, p logpos.Position, sent time.Duration) bool {
	return term == h.term && member == h.member && p.Less(h.position) && sent > h.observedAt
}

// ObserveLoss is Regressed, and remains true for the member and the term once it was.
func (h *HighWaterMark) ObserveLoss(member string, term logpos.Term, p logpos.Position, sent time.Duration) bool {
	h.logLost = h.logLost || h.Regressed(member, term, p, sent)
	return h.LogLost(member) && term <= h.term
}

// LogLost reports whether a member has lost its log as the primary of the newest
// term.
func (h *HighWaterMark) LogLost(member string) bool { return h.logLost && member == h.member }
