package group

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// Switchover replaces a healthy primary that is among the excluded members. It
// does nothing if the primary is not excluded or a promotion is in progress.
// The new primary needs grants of a majority without the excluded members, so it
// has every committed entry. Entries that only the old primary has are abandoned,
// so writes to it should be stopped first.
func (c *Controller) Switchover(now time.Duration, exclude []string) []Action {
	primary, found := c.view.Primary()
	if !found || c.phase != monitoring || c.suspected || now < c.backoffUntil {
		return nil
	}
	excluded := make(map[string]bool, len(exclude))
	for _, name := range exclude {
		excluded[name] = true
	}
	if !excluded[primary.Member] {
		return nil
	}
	return c.startClaim(now, excluded)
}

// startClaim asks every member for the next term.
func (c *Controller) startClaim(now time.Duration, excluded map[string]bool) []Action {
	c.phase = claiming
	c.excluded = excluded
	c.term = max(c.view.HighestTerm(), c.term) + 1
	c.grants = make(map[string]Status, len(c.view.members))
	c.deadline = now + c.timing.ReplyTimeout
	out := make([]Action, 0, len(c.view.members))
	for i := range c.view.members {
		out = append(out, Action{Kind: Claim, Member: c.view.members[i].name, Term: c.term})
	}
	return out
}

// OnClaimReply handles a member's answer to a claim of term sent at the given
// time. St is the member's status after the claim.
func (c *Controller) OnClaimReply(term logpos.Term, granted bool, st Status, sent, now time.Duration) []Action {
	c.view.Observe(st, sent)
	if c.phase != claiming || term != c.term {
		return nil
	}
	if !granted {
		c.abortPromotion(now)
		return nil
	}
	if !c.excluded[st.Member] {
		c.grants[st.Member] = st
	}
	if len(c.grants) < c.view.Quorum() {
		return nil
	}
	c.phase = promoting
	c.deadline = now + c.timing.ReplyTimeout
	return []Action{{Kind: Promote, Member: c.mostAdvancedGrant(), Term: c.term}}
}

// mostAdvancedGrant returns the granting member with the most advanced log.
// Ties are broken by the configured order, so that hosts with the same grants
// choose the same member.
func (c *Controller) mostAdvancedGrant() string {
	best := ""
	var bestLast logpos.Position
	for i := range c.view.members {
		name := c.view.members[i].name
		st, granted := c.grants[name]
		if granted && (best == "" || bestLast.Less(st.Last)) {
			best, bestLast = name, st.Last
		}
	}
	return best
}

// OnPromoteReply handles the answer to a promotion. After a refusal or a late
// answer the term is never used again.
func (c *Controller) OnPromoteReply(term logpos.Term, done bool, st Status, sent, now time.Duration) []Action {
	c.view.Observe(st, sent)
	if c.phase != promoting || term != c.term {
		return nil
	}
	if !done {
		c.abortPromotion(now)
		return nil
	}
	c.phase = monitoring
	c.promotions++
	c.updateSuspicion(now)
	out := []Action{{Kind: Record, Member: st.Member, Term: term, Primary: st.Member}}
	for i := range c.view.members {
		name := c.view.members[i].name
		if name != st.Member {
			out = append(out, Action{Kind: Follow, Member: name, Term: term, Primary: st.Member})
		}
	}
	return out
}

// abortPromotion ends the current promotion and backs off for a random time, so
// that hosts that claimed at the same time do not collide again.
func (c *Controller) abortPromotion(now time.Duration) {
	c.phase = monitoring
	wait := c.timing.FastHeartbeat + time.Duration(c.rng.Int64N(int64(c.timing.Stagger)+1))
	c.backoffUntil = now + wait
}
