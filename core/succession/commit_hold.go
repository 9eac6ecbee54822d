package succession

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// CommitHold keeps a host from acknowledging commits of a group with synchronous replicas
// while a member that lacks them may be promoted. The host that leads a promotion places it
// on all hosts before it relies on what they have acknowledged. A hold has no end of its
// own: a promotion that was ordered may take effect long after the host that ordered it has
// died. The lock's holder ends it, once no earlier promotion can take effect any more.
//
// It is not safe for concurrent use.
type CommitHold struct {
	// token is the fencing token of the newest promotion that has placed the hold; zero
	// if there is no hold.
	token uint64
	// since is when the hold began, placedAt when it was last placed.
	since, placedAt time.Duration
	// settled is the newest token whose promotions are known to have ended, and term the
	// newest term that was known then.
	settled uint64
	term    logpos.Term
}

// UnknownPromotion is the token of the hold of a host that has just started. A promotion
// may be under way that placed its hold on an earlier process.
const UnknownPromotion uint64 = 1

// Place starts a hold for the promotion with a token, and reports whether it stands. It does
// not for a promotion that is known to have been succeeded by another one.
func (h *CommitHold) Place(token uint64, now time.Duration) bool {
	if token < h.settled {
		return false
	}
	if h.token == 0 {
		h.since = now
	}
	h.token, h.placedAt = max(h.token, token), now
	return true
}

// Settle records that promotions with tokens up to the given one had ended at a time, in a
// term, and reports whether this ends the hold. A hold that was placed since goes on: its
// promotion may have a token that was not in use at that time.
func (h *CommitHold) Settle(token uint64, term logpos.Term, asOf time.Duration) bool {
	if h.token != 0 && asOf < h.placedAt {
		return false
	}
	h.settled, h.term = max(h.settled, token), max(h.term, term)
	if h.token == 0 || token < h.token {
		return false
	}
	h.token = 0
	return true
}

// MayAcknowledge reports whether the host may acknowledge a commit of a term. The answer of a
// primary that was replaced may arrive after the hold has ended.
func (h *CommitHold) MayAcknowledge(term logpos.Term) bool { return h.token == 0 && term >= h.term }

// Token returns the token of the hold; zero if there is none.
func (h *CommitHold) Token() uint64 { return h.token }

// Since returns when the hold began; meaningless if there is none.
func (h *CommitHold) Since() time.Duration { return h.since }
