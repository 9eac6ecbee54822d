package group

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// Handover replaces a primary that works but is among the members to avoid. It
// does nothing when the primary is not, or a promotion is under way. The new
// primary comes from a majority of the other members, which holds every
// confirmed entry; what only the old one holds is abandoned, so writes on it
// should have come to rest before.
func (c *Controller) Handover(now time.Duration, avoid []string) []Action {
	primary, found := c.view.Primary()
	if !found || c.phase != watching || c.doubted || now < c.quietUntil {
		return nil
	}
	set := make(map[string]bool, len(avoid))
	for _, name := range avoid {
		set[name] = true
	}
	if !set[primary.Member] {
		return nil
	}
	return c.startClaim(now, set)
}

// startClaim asks every member for the next term.
func (c *Controller) startClaim(now time.Duration, avoid map[string]bool) []Action {
	c.phase = claiming
	c.avoid = avoid
	c.term = max(c.view.HighestTerm(), c.term) + 1
	c.grants = make(map[string]Status, len(c.view.members))
	c.deadline = now + c.timing.ReplyTimeout
	out := make([]Action, 0, len(c.view.members))
	for i := range c.view.members {
		out = append(out, Action{Kind: Claim, Member: c.view.members[i].name, Term: c.term})
	}
	return out
}

// OnClaimReply takes a member's answer to a claim of term sent at the given
// time. St is its status after the claim.
func (c *Controller) OnClaimReply(term logpos.Term, granted bool, st Status, sent, now time.Duration) []Action {
	c.view.Observe(st, sent)
	if c.phase != claiming || term != c.term {
		return nil
	}
	if !granted {
		c.abandon(now)
		return nil
	}
	if !c.avoid[st.Member] {
		c.grants[st.Member] = st
	}
	if len(c.grants) < c.view.Quorum() {
		return nil
	}
	c.phase = promoting
	c.deadline = now + c.timing.ReplyTimeout
	return []Action{{Kind: Promote, Member: c.furthest(), Term: c.term}}
}

// furthest returns the grantor with the newest log. Order of configuration
// breaks ties, so that hosts that see the same grants choose alike.
func (c *Controller) furthest() string {
	best := ""
	var bestAt logpos.Position
	for i := range c.view.members {
		name := c.view.members[i].name
		st, granted := c.grants[name]
		if granted && (best == "" || bestAt.Less(st.Last)) {
			best, bestAt = name, st.Last
		}
	}
	return best
}

// OnPromoteReply takes the answer to a promotion. A refusal or a late answer
// leaves the term unused for good.
func (c *Controller) OnPromoteReply(term logpos.Term, done bool, st Status, sent, now time.Duration) []Action {
	c.view.Observe(st, sent)
	if c.phase != promoting || term != c.term {
		return nil
	}
	if !done {
		c.abandon(now)
		return nil
	}
	c.phase = watching
	c.promotions++
	c.updateDoubt(now)
	out := []Action{{Kind: Record, Member: st.Member, Term: term, Primary: st.Member}}
	for i := range c.view.members {
		name := c.view.members[i].name
		if name != st.Member {
			out = append(out, Action{Kind: Follow, Member: name, Term: term, Primary: st.Member})
		}
	}
	return out
}

// abandon gives the current term up and waits a random while, so that hosts
// that claimed at the same time do not do so again.
func (c *Controller) abandon(now time.Duration) {
	c.phase = watching
	wait := c.timing.FastHeartbeat + time.Duration(c.rng.Int64N(int64(c.timing.Stagger)+1))
	c.quietUntil = now + wait
}
