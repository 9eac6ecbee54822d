package group

import (
	"math/rand/v2"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// phase is the step of a promotion that a controller is in.
type phase uint8

const (
	watching phase = iota
	claiming
	promoting
)

// Controller watches one group and replaces its primary when it fails. It
// keeps these invariants:
//
//   - it claims a term only above every term it has seen granted;
//   - it promotes at most one member in a term, and only after a majority has
//     granted that term to it;
//   - it promotes the member with the furthest log among the grants.
//
// A term whose claim or promotion got no answer is never used again.
type Controller struct {
	view   *View
	timing Timing
	rank   int
	rng    *rand.Rand

	phase    phase
	term     logpos.Term
	grants   map[string]Status
	deadline time.Duration
	// probes holds when each member is probed next.
	probes []time.Duration
	// doubtSince is when the group was first seen without a working primary.
	doubted    bool
	doubtSince time.Duration
	// quietUntil delays the next claim after one that failed.
	quietUntil time.Duration
	// seenTerm is the newest term that any member was seen to have granted.
	seenTerm logpos.Term
	// avoid names the members that a planned handover must not promote.
	avoid      map[string]bool
	hintUntil  time.Duration
	promotions int
}

// NewController returns a controller for the named members. Rank orders the
// hosts that watch the group, from zero. Seed makes the jitter repeatable.
func NewController(members []string, rank int, timing Timing, seed uint64) *Controller {
	return &Controller{
		view:   NewView(members),
		timing: timing,
		rank:   rank,
		rng:    rand.New(rand.NewPCG(seed, uint64(rank))),
		probes: make([]time.Duration, len(members)),
	}
}

// View returns what the controller knows. The caller must not keep it across
// calls from other goroutines.
func (c *Controller) View() *View { return c.view }

// SetRank changes the order among the hosts that watch the group.
func (c *Controller) SetRank(rank int) { c.rank = rank }

// SetTiming changes the delays from the next tick on.
func (c *Controller) SetTiming(t Timing) { c.timing = t }

// Promotions returns how many promotions this controller has completed.
func (c *Controller) Promotions() int { return c.promotions }

// Suspect asks for fast probes because a statement failed; it is a hint and
// counts as no evidence.
func (c *Controller) Suspect(now time.Duration) {
	if c.hintUntil > now {
		return
	}
	c.hintUntil = now + c.timing.SuspectAfter
	for i := range c.probes {
		c.probes[i] = min(c.probes[i], now)
	}
}

// ProbeNow schedules an immediate probe of every member.
func (c *Controller) ProbeNow(now time.Duration) {
	for i := range c.probes {
		c.probes[i] = min(c.probes[i], now)
	}
}

// Tick advances time and returns what is due.
func (c *Controller) Tick(now time.Duration) []Action {
	var out []Action
	if c.phase != watching && now >= c.deadline {
		c.abandon(now)
	}
	if c.phase == watching && c.shouldClaim(now) {
		out = c.startClaim(now, nil)
	}
	return append(out, c.dueProbes(now)...)
}

// NextTick returns how long a tick may be put off when nothing else happens.
// Step is the granularity while a promotion is under way or the primary is in
// doubt.
func (c *Controller) NextTick(now, step time.Duration) time.Duration {
	if c.phase != watching || c.doubted || now < c.hintUntil {
		return step
	}
	next := now + c.timing.Heartbeat
	for _, due := range c.probes {
		next = min(next, due)
	}
	return max(next-now, step)
}

func (c *Controller) dueProbes(now time.Duration) []Action {
	interval := c.timing.Heartbeat
	if c.doubted || now < c.hintUntil {
		interval = min(interval, c.timing.FastHeartbeat)
	}
	var out []Action
	for i := range c.probes {
		if now < c.probes[i] {
			continue
		}
		c.probes[i] = now + interval
		out = append(out, Action{Kind: Probe, Member: c.view.members[i].name})
	}
	return out
}

// OnStatus takes an answer to a probe sent at the given time.
func (c *Controller) OnStatus(st Status, sent, now time.Duration) []Action {
	c.view.Observe(st, sent)
	c.updateDoubt(now)
	c.yield(now)
	return c.repair(st)
}

// yield puts this host's own claim off when another host has claimed a term: it
// has until the end of the usual timeout to promote someone. Without this, a
// host that learns late of a promotion in progress takes the term away from it.
func (c *Controller) yield(now time.Duration) {
	high := c.view.HighestTerm()
	if high <= c.seenTerm {
		return
	}
	c.seenTerm = high
	if c.phase == watching && c.doubted {
		c.quietUntil = max(c.quietUntil, now+c.timing.ReplyTimeout)
	}
}

// OnProbeFailed takes a probe that had no answer.
func (c *Controller) OnProbeFailed(member string, sent, now time.Duration, refused bool) {
	c.view.Fail(member, sent, refused)
	c.updateDoubt(now)
}

// repair tells a member that follows no one, or an old primary, whom to follow.
func (c *Controller) repair(st Status) []Action {
	primary, found := c.view.Reigning()
	if !found {
		return nil
	}
	if st.Member == primary.Member || st.Follows == primary.Claimed {
		return nil
	}
	return []Action{{Kind: Follow, Member: st.Member, Term: primary.Claimed, Primary: primary.Member}}
}

// updateDoubt notes since when the group has had no working primary.
func (c *Controller) updateDoubt(now time.Duration) {
	working := c.primaryWorks()
	if working {
		c.doubted = false
		return
	}
	if c.doubted {
		return
	}
	c.doubted, c.doubtSince = true, now
	if primary, found := c.view.Primary(); found && c.view.Failing(primary.Member) {
		c.doubtSince = min(now, c.view.member(primary.Member).failedSince)
	}
}

// primaryWorks reports whether the newest granted term has a primary that
// answers probes.
func (c *Controller) primaryWorks() bool {
	primary, found := c.view.Reigning()
	if !found {
		return false
	}
	return !c.view.Failing(primary.Member)
}

// shouldClaim reports whether the primary has failed for long enough.
func (c *Controller) shouldClaim(now time.Duration) bool {
	if !c.doubted || now < c.quietUntil {
		return false
	}
	inDoubt := now - c.doubtSince
	turn := time.Duration(c.rank) * c.timing.Stagger
	if inDoubt < c.failureDelay()+turn {
		return false
	}
	if !c.majorityAnswers() {
		return false
	}
	return inDoubt >= c.timing.Patience || !c.othersHear()
}

// failureDelay returns how long the present kind of failure must last.
func (c *Controller) failureDelay() time.Duration {
	primary, found := c.view.Reigning()
	if !found {
		return c.timing.SuspectAfter
	}
	const refusalsToBelieve = 2
	if c.view.member(primary.Member).refusals >= refusalsToBelieve {
		return c.timing.RefusedAfter
	}
	return c.timing.SuspectAfter
}

// majorityAnswers reports whether enough members answer to grant a term.
func (c *Controller) majorityAnswers() bool {
	answering := 0
	for i := range c.view.members {
		m := &c.view.members[i]
		if m.answered && !m.failing {
			answering++
		}
	}
	return answering >= c.view.Quorum()
}

// othersHear reports whether a replica of the newest term still has contact
// with the primary that this host cannot reach.
func (c *Controller) othersHear() bool {
	primary, found := c.view.Reigning()
	if !found {
		return false
	}
	for i := range c.view.members {
		m := &c.view.members[i]
		if m.name == primary.Member || m.failing || !m.answered {
			continue
		}
		if m.status.Follows == primary.Claimed && m.status.Heard < c.timing.HeardWithin {
			return true
		}
	}
	return false
}
