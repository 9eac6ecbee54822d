package group

import (
	"math/rand/v2"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// phase is the state of a controller's promotion procedure.
type phase uint8

const (
	monitoring phase = iota
	claiming
	promoting
)

// Controller monitors one group and replaces its primary when it fails. Its
// invariants:
//
//   - it claims only terms above every term it has seen granted;
//   - it promotes at most one member per term, and only after a majority has
//     granted that term to it;
//   - it promotes the member with the most advanced log among the grants.
//
// A term whose claim or promotion was not answered is never used again.
type Controller struct {
	view   *View
	timing Timing
	rank   int
	rng    *rand.Rand

	phase    phase
	term     logpos.Term
	grants   map[string]Status
	deadline time.Duration
	// nextProbes holds the time of the next probe of each member.
	nextProbes []time.Duration
	suspected  bool
	// suspectedSince is the time since which the group has had no healthy
	// primary; valid if suspected is true.
	suspectedSince time.Duration
	// backoffUntil is the earliest time of the next claim.
	backoffUntil time.Duration
	// highestSeenTerm is the newest term known to have been granted by any
	// member.
	highestSeenTerm logpos.Term
	// excluded holds the members that a switchover must not promote.
	excluded map[string]bool
	// fastProbesUntil is the end of the fast probing that a failed statement
	// caused.
	fastProbesUntil time.Duration
	promotions      int
}

// NewController returns a controller for the named members. Rank is this host's
// position, from zero, among the hosts that monitor the group. Seed makes the
// jitter reproducible.
func NewController(members []string, rank int, timing Timing, seed uint64) *Controller {
	return &Controller{
		view:       NewView(members),
		timing:     timing,
		rank:       rank,
		rng:        rand.New(rand.NewPCG(seed, uint64(rank))),
		nextProbes: make([]time.Duration, len(members)),
	}
}

// View returns the controller's view of the group. It is not synchronized: the
// caller must not use it concurrently with other methods.
func (c *Controller) View() *View { return c.view }

// SetRank changes the rank of this host among those that monitor the group.
func (c *Controller) SetRank(rank int) { c.rank = rank }

// SetTiming changes the timing from the next tick on.
func (c *Controller) SetTiming(t Timing) { c.timing = t }

// Promotions returns the number of promotions that this controller has
// completed.
func (c *Controller) Promotions() int { return c.promotions }

// Suspect speeds up probing because a statement failed. The failure itself does
// not count as evidence against the primary.
func (c *Controller) Suspect(now time.Duration) {
	if c.fastProbesUntil > now {
		return
	}
	c.fastProbesUntil = now + c.timing.SuspectAfter
	for i := range c.nextProbes {
		c.nextProbes[i] = min(c.nextProbes[i], now)
	}
}

// ProbeNow schedules an immediate probe of every member.
func (c *Controller) ProbeNow(now time.Duration) {
	for i := range c.nextProbes {
		c.nextProbes[i] = min(c.nextProbes[i], now)
	}
}

// Tick advances the time and returns the actions that are due.
func (c *Controller) Tick(now time.Duration) []Action {
	var out []Action
	if c.phase != monitoring && now >= c.deadline {
		c.abortPromotion(now)
	}
	if c.phase == monitoring && c.shouldClaim(now) {
		out = c.startClaim(now, nil)
	}
	return append(out, c.dueProbes(now)...)
}

// NextTick returns the time until the next tick is needed if no event arrives
// before. Step is the tick interval during a promotion and while the primary is
// suspected.
func (c *Controller) NextTick(now, step time.Duration) time.Duration {
	if c.phase != monitoring || c.suspected || now < c.fastProbesUntil {
		return step
	}
	next := now + c.timing.Heartbeat
	for _, due := range c.nextProbes {
		next = min(next, due)
	}
	return max(next-now, step)
}

func (c *Controller) dueProbes(now time.Duration) []Action {
	interval := c.timing.Heartbeat
	if c.suspected || now < c.fastProbesUntil {
		interval = min(interval, c.timing.FastHeartbeat)
	}
	var out []Action
	for i := range c.nextProbes {
		if now < c.nextProbes[i] {
			continue
		}
		c.nextProbes[i] = now + interval
		out = append(out, Action{Kind: Probe, Member: c.view.members[i].name})
	}
	return out
}

// OnStatus handles the answer to a probe sent at the given time.
func (c *Controller) OnStatus(st Status, sent, now time.Duration) []Action {
	c.view.Observe(st, sent)
	c.updateSuspicion(now)
	c.backOffToNewerTerm(now)
	return c.redirectToPrimary(st)
}

// backOffToNewerTerm delays this host's own claim when another host has claimed
// a newer term, so that a promotion in progress is not interrupted before its
// timeout.
func (c *Controller) backOffToNewerTerm(now time.Duration) {
	high := c.view.HighestTerm()
	if high <= c.highestSeenTerm {
		return
	}
	c.highestSeenTerm = high
	if c.phase == monitoring && c.suspected {
		c.backoffUntil = max(c.backoffUntil, now+c.timing.ReplyTimeout)
	}
}

// OnProbeFailed handles a probe that was not answered.
func (c *Controller) OnProbeFailed(member string, sent, now time.Duration, refused bool) {
	c.view.ObserveFailure(member, sent, refused)
	c.updateSuspicion(now)
}

// redirectToPrimary orders a member that follows no primary, or an old one, to
// follow the current primary.
func (c *Controller) redirectToPrimary(st Status) []Action {
	primary, found := c.view.CurrentPrimary()
	if !found {
		return nil
	}
	if st.Member == primary.Member || st.Follows == primary.GrantedTerm {
		return nil
	}
	return []Action{{Kind: Follow, Member: st.Member, Term: primary.GrantedTerm, Primary: primary.Member}}
}

// updateSuspicion tracks since when the group has had no healthy primary.
func (c *Controller) updateSuspicion(now time.Duration) {
	healthy := c.primaryHealthy()
	if healthy {
		c.suspected = false
		return
	}
	if c.suspected {
		return
	}
	c.suspected, c.suspectedSince = true, now
	if primary, found := c.view.Primary(); found && c.view.Failing(primary.Member) {
		c.suspectedSince = min(now, c.view.member(primary.Member).failedSince)
	}
}

// primaryHealthy reports whether the newest granted term has a primary that
// answers probes.
func (c *Controller) primaryHealthy() bool {
	primary, found := c.view.CurrentPrimary()
	if !found {
		return false
	}
	return !c.view.Failing(primary.Member)
}

// shouldClaim reports whether the primary has been suspected for long enough,
// and enough members answer, to claim a new term.
func (c *Controller) shouldClaim(now time.Duration) bool {
	if !c.suspected || now < c.backoffUntil {
		return false
	}
	suspectedFor := now - c.suspectedSince
	rankDelay := time.Duration(c.rank) * c.timing.Stagger
	if suspectedFor < c.detectionDelay()+rankDelay {
		return false
	}
	if !c.majorityReachable() {
		return false
	}
	return suspectedFor >= c.timing.MaxHoldOff || !c.replicasHearPrimary()
}

// detectionDelay returns how long the observed kind of failure must last before
// a claim.
func (c *Controller) detectionDelay() time.Duration {
	primary, found := c.view.CurrentPrimary()
	if !found {
		return c.timing.SuspectAfter
	}
	// A restarting listener may refuse a single connection.
	const minRefusals = 2
	if c.view.member(primary.Member).refusals >= minRefusals {
		return c.timing.RefusedAfter
	}
	return c.timing.SuspectAfter
}

// majorityReachable reports whether enough members answer probes to grant a
// term.
func (c *Controller) majorityReachable() bool {
	answering := 0
	for i := range c.view.members {
		m := &c.view.members[i]
		if m.answered && !m.failing {
			answering++
		}
	}
	return answering >= c.view.Quorum()
}

// replicasHearPrimary reports whether a replica of the newest term is still in
// contact with the primary that this host cannot reach.
func (c *Controller) replicasHearPrimary() bool {
	primary, found := c.view.CurrentPrimary()
	if !found {
		return false
	}
	for i := range c.view.members {
		m := &c.view.members[i]
		if m.name == primary.Member || m.failing || !m.answered {
			continue
		}
		if m.status.Follows == primary.GrantedTerm && m.status.SincePrimaryContact < c.timing.ContactWindow {
			return true
		}
	}
	return false
}
