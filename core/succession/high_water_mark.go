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
//
// A mark that rests on the member's own answers alone does not show that the member had
// its log when it was first asked. The mark is vouched for once replicas, or a host for
// which it was vouched, have shown how far the log went.
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
	// lossReported is set while another host has found the log lost and member has not
	// answered this host since.
	lossReported bool
	vouched      bool
	// restarted is set if member may have restarted since the mark was vouched for. Hosts
	// may not have noticed yet, so only its replicas can vouch for it.
	restarted bool
	// trustedUntil is until when member is trusted although nobody could vouch for it.
	trustedUntil time.Duration
}

// Standing returns how far a member can be relied on as the primary.
func (h *HighWaterMark) Standing(member string, now time.Duration) LogStanding {
	switch {
	case member != h.member:
		return LogUnknown
	case h.vouched || h.logLost:
		return LogVouched
	case now < h.trustedUntil:
		return LogTrusted
	case h.trustedUntil > 0:
		return LogTrustEnded
	}
	return LogUnknown
}

// Observe records a position that a member has reached as the primary of a
// term.
func (h *HighWaterMark) Observe(member string, term logpos.Term, p logpos.Position, now time.Duration) {
	switch {
	case term < h.term:
	case term > h.term || member != h.member:
		*h = HighWaterMark{term: term, member: member, position: p, observedAt: now}
	default:
		h.advance(p, now)
	}
}

// advance raises the mark. Offsets go on across terms: the log of a new primary begins
// with entries of older terms.
func (h *HighWaterMark) advance(p logpos.Position, now time.Duration) {
	if p.Offset > h.position.Offset || p.Offset == h.position.Offset && p.Term > h.position.Term {
		h.position, h.observedAt = p, now
	}
}

// Vouch records how far replicas, or the host that leads the promotion, have shown a log to
// have gone.
func (h *HighWaterMark) Vouch(mark LogMark, now time.Duration) {
	if !h.follows(mark) {
		return
	}
	h.Observe(mark.Member, mark.Term, mark.Position, now)
	h.vouched, h.restarted, h.logLost = true, false, h.logLost || mark.Lost
}

// ObserveMark records the mark of another host. It vouches for the log unless the member
// may have restarted, which the other host may not have noticed.
func (h *HighWaterMark) ObserveMark(mark LogMark, now time.Duration) {
	if !h.follows(mark) {
		return
	}
	h.Observe(mark.Member, mark.Term, mark.Position, now)
	h.restarted = h.restarted || mark.Restarted && !h.vouched
	h.vouched = h.vouched || !h.restarted
	h.lossReported = h.lossReported || mark.Lost
}

// follows reports whether a mark is of this leadership or a newer one.
func (h *HighWaterMark) follows(mark LogMark) bool {
	return mark.Member != "" && (mark.Term > h.term || mark.Term == h.term && (h.member == "" || h.member == mark.Member))
}

// Trust makes a member that nobody can vouch for trusted for a while.
func (h *HighWaterMark) Trust(member string, until time.Duration) {
	if member == h.member {
		h.trustedUntil = until
	}
}

// ObserveRestart records that a member may have restarted.
func (h *HighWaterMark) ObserveRestart(member string) {
	if member == h.member {
		h.restarted = h.restarted || h.vouched
		h.vouched, h.trustedUntil = false, 0
	}
}

// Mark returns the mark for other hosts; the zero value if nobody has vouched for it.
func (h *HighWaterMark) Mark() LogMark {
	if !h.vouched && !h.restarted && !h.logLost {
		return LogMark{}
	}
	return LogMark{Member: h.member, Term: h.term, Position: h.position, Lost: h.logLost, Restarted: h.restarted}
}

// Restarted reports whether a member may have restarted since its log was vouched for.
func (h *HighWaterMark) Restarted(member string) bool { return h.restarted && member == h.member }

// TermOf returns the term that a member is known to lead, or zero.
func (h *HighWaterMark) TermOf(member string) logpos.Term {
	if member != h.member {
		return 0
	}
	return h.term
}

// Regressed reports whether a position that a member reports as the primary of
// a term, in answer to a request sent at the given time, is below the
// high-water mark. Answers may be reordered, so the answer to a request sent
// before the mark was recorded is ignored.
func (h *HighWaterMark) Regressed(member string, term logpos.Term, p logpos.Position, sent time.Duration) bool {
	return term == h.term && member == h.member && h.isPast(p) && sent > h.observedAt
}

// isPast reports whether the mark is past a position of the same log.
func (h *HighWaterMark) isPast(p logpos.Position) bool {
	return p.Offset < h.position.Offset || p.Term < h.position.Term
}

// ObserveLoss is Regressed, and remains true for the member and the term once it was.
func (h *HighWaterMark) ObserveLoss(member string, term logpos.Term, p logpos.Position, sent time.Duration) bool {
	h.logLost = h.logLost || h.Regressed(member, term, p, sent)
	if member == h.member && sent > h.observedAt {
		h.lossReported = false
	}
	return h.LogLostIn(member, term)
}

// LogLost reports whether a member has lost its log as the primary of the newest
// term.
func (h *HighWaterMark) LogLost(member string) bool { return h.logLost && member == h.member }

// LogLostIn reports whether a member has lost its log as the primary of a term.
func (h *HighWaterMark) LogLostIn(member string, term logpos.Term) bool {
	return h.LogLost(member) && term <= h.term
}

// LossReported reports whether another host has found the log of a member lost, and the
// member has not answered this host since.
func (h *HighWaterMark) LossReported(member string) bool {
	return h.lossReported && !h.logLost && member == h.member
}
