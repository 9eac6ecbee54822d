package group_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/group"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// failedPrimary returns a controller in whose view the primary of term 1
// refuses connections and the two replicas answer, at the given time.
func failedPrimary(now time.Duration) *group.Controller {
	c := group.NewController([]string{"a", "b", "c"}, 0, testTiming, 1)
	c.OnStatus(group.Status{Member: "a", Claimed: 1, Primary: true}, 0, 0)
	c.OnStatus(group.Status{Member: "b", Claimed: 1, Follows: 1, Heard: time.Hour}, 0, 0)
	c.OnStatus(group.Status{Member: "c", Claimed: 1, Follows: 1, Heard: time.Hour}, 0, 0)
	c.OnProbeFailed("a", 1, 1, true)
	c.OnProbeFailed("a", 2, now, true)
	return c
}

// claimedTerm ticks from a time on until the controller claims a term, and returns it.
func claimedTerm(t *testing.T, c *group.Controller, now time.Duration) logpos.Term {
	t.Helper()
	for end := now + 100; now < end; now++ {
		for _, a := range c.Tick(now) {
			if a.Kind == group.Claim {
				return a.Term
			}
		}
	}
	t.Fatal("the controller claims no term")
	return 0
}

// granted is the answer of a member that granted a term.
func granted(member string, term logpos.Term) group.Status {
	return group.Status{Member: member, Claimed: term}
}

// TestStaleGrantDoesNotCount answers the claim of one term with a grant of an
// earlier one, which must not help to a majority.
func TestStaleGrantDoesNotCount(t *testing.T) {
	c := failedPrimary(3)
	first := claimedTerm(t, c, 50)
	second := claimedTerm(t, c, 200)
	require.Greater(t, second, first)
	require.Empty(t, c.OnClaimReply(second, true, granted("b", second), 301, 302))
	require.Empty(t, c.OnClaimReply(first, true, granted("c", first), 51, 303), "a grant of an older term must not count")
	out := c.OnClaimReply(second, true, granted("c", second), 301, 304)
	require.Len(t, out, 1)
	require.Equal(t, group.Promote, out[0].Kind)
}

// TestLostPromotionBurnsTheTerm checks that a term whose promotion got no
// answer is not promoted again elsewhere.
func TestLostPromotionBurnsTheTerm(t *testing.T) {
	c := failedPrimary(3)
	first := claimedTerm(t, c, 50)
	c.OnClaimReply(first, true, granted("b", first), 51, 52)
	require.NotEmpty(t, c.OnClaimReply(first, true, granted("c", first), 51, 52))
	require.Greater(t, claimedTerm(t, c, 300), first)
}

// TestReplicasThatHearThePrimaryHoldPromotionOff covers a host that alone is
// cut off from a healthy primary.
func TestReplicasThatHearThePrimaryHoldPromotionOff(t *testing.T) {
	c := failedPrimary(3)
	c.OnStatus(group.Status{Member: "b", Claimed: 1, Follows: 1, Heard: 1}, 40, 40)
	for _, a := range c.Tick(50) {
		require.Equal(t, group.Probe, a.Kind)
	}
	claimedTerm(t, c, 100) // patience is over
}

// TestSlowAnswerClearsDoubt covers a member that answers late but answers.
func TestSlowAnswerClearsDoubt(t *testing.T) {
	c := group.NewController([]string{"a", "b", "c"}, 0, testTiming, 1)
	for _, m := range []string{"a", "b", "c"} {
		c.OnStatus(group.Status{Member: m, Claimed: 1, Primary: m == "a", Follows: 1, Heard: time.Hour}, 0, 0)
	}
	c.OnProbeFailed("a", 10, 20, false)
	c.OnStatus(group.Status{Member: "a", Claimed: 1, Primary: true}, 10, 35)
	for _, a := range c.Tick(60) {
		require.Equal(t, group.Probe, a.Kind)
	}
}

// TestPaceKeepsTheBudget checks that heartbeats stay within the bytes allowed,
// up to the longest interval.
func TestPaceKeepsTheBudget(t *testing.T) {
	p := group.DefaultPace()
	for _, members := range []int{1, 9, 30, 45} {
		interval := p.Heartbeat(members)
		require.GreaterOrEqual(t, interval, p.Shortest)
		cost := float64(members*p.ProbeBytes) / interval.Seconds()
		require.LessOrEqual(t, cost, float64(p.BudgetBytes)*1.01, "%d members", members)
	}
	require.Equal(t, p.Longest, p.Heartbeat(10_000))
}

// TestNextTickRestsOnlyWhenHealthy checks that a controller in doubt is not
// put off.
func TestNextTickRestsOnlyWhenHealthy(t *testing.T) {
	c := group.NewController([]string{"a"}, 0, testTiming, 1)
	c.OnStatus(group.Status{Member: "a", Claimed: 1, Primary: true}, 0, 0)
	c.Tick(0)
	require.Equal(t, testTiming.Heartbeat, c.NextTick(0, 1))
	c.OnProbeFailed("a", 1, 1, true)
	require.Equal(t, time.Duration(1), c.NextTick(1, 1))
}

// TestHostsYieldToAClaimInProgress checks that a host which sees a newer term
// granted to another does not take it away at once, and does not wait for ever.
func TestHostsYieldToAClaimInProgress(t *testing.T) {
	c := failedPrimary(3)
	c.OnStatus(granted("b", 2), 20, 20)
	for now := time.Duration(20); now < 20+testTiming.ReplyTimeout; now++ {
		for _, a := range c.Tick(now) {
			require.Equal(t, group.Probe, a.Kind, "at %d", now)
		}
	}
	require.Equal(t, logpos.Term(3), claimedTerm(t, c, 20+testTiming.ReplyTimeout))
}
