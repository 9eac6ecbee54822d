package group_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/group"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// failedPrimary returns a controller for which the primary of term 1 refuses
// connections and the two replicas answer, at the given time.
func failedPrimary(now time.Duration) *group.Controller {
	c := group.NewController([]string{"a", "b", "c"}, 0, testTiming, 1)
	c.OnStatus(group.Status{Member: "a", GrantedTerm: 1, Primary: true}, 0, 0)
	c.OnStatus(group.Status{Member: "b", GrantedTerm: 1, Follows: 1, SincePrimaryContact: time.Hour}, 0, 0)
	c.OnStatus(group.Status{Member: "c", GrantedTerm: 1, Follows: 1, SincePrimaryContact: time.Hour}, 0, 0)
	c.OnProbeFailed("a", 1, 1, true)
	c.OnProbeFailed("a", 2, now, true)
	return c
}

// claimedTerm ticks the controller from the given time until it claims a term,
// and returns the term.
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

// granted returns the status of a member that has granted a term.
func granted(member string, term logpos.Term) group.Status {
	return group.Status{Member: member, GrantedTerm: term}
}

// TestStaleGrantDoesNotCount: a grant of an earlier term must not count towards
// the majority of the current claim.
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

// TestUnansweredPromotionDoesNotReuseTerm: a term whose promotion was not
// answered must not be used to promote another member.
func TestUnansweredPromotionDoesNotReuseTerm(t *testing.T) {
	c := failedPrimary(3)
	first := claimedTerm(t, c, 50)
	c.OnClaimReply(first, true, granted("b", first), 51, 52)
	require.NotEmpty(t, c.OnClaimReply(first, true, granted("c", first), 51, 52))
	require.Greater(t, claimedTerm(t, c, 300), first)
}

// TestReplicasInContactWithPrimaryDelayPromotion covers a host that alone is
// partitioned from a healthy primary.
func TestReplicasInContactWithPrimaryDelayPromotion(t *testing.T) {
	c := failedPrimary(3)
	c.OnStatus(group.Status{Member: "b", GrantedTerm: 1, Follows: 1, SincePrimaryContact: 1}, 40, 40)
	for _, a := range c.Tick(50) {
		require.Equal(t, group.Probe, a.Kind)
	}
	claimedTerm(t, c, 100) // after MaxHoldOff
}

// TestLateAnswerClearsSuspicion covers a primary that answers a probe after the
// probe was counted as failed.
func TestLateAnswerClearsSuspicion(t *testing.T) {
	c := group.NewController([]string{"a", "b", "c"}, 0, testTiming, 1)
	for _, m := range []string{"a", "b", "c"} {
		c.OnStatus(group.Status{Member: m, GrantedTerm: 1, Primary: m == "a", Follows: 1, SincePrimaryContact: time.Hour}, 0, 0)
	}
	c.OnProbeFailed("a", 10, 20, false)
	c.OnStatus(group.Status{Member: "a", GrantedTerm: 1, Primary: true}, 10, 35)
	for _, a := range c.Tick(60) {
		require.Equal(t, group.Probe, a.Kind)
	}
}

// TestHeartbeatsStayWithinBudget checks the bytes per second of heartbeats up
// to the maximum interval.
func TestHeartbeatsStayWithinBudget(t *testing.T) {
	budget := group.DefaultHeartbeatBudget()
	for _, members := range []int{1, 9, 30, 45} {
		interval := budget.Interval(members)
		require.GreaterOrEqual(t, interval, budget.MinInterval)
		cost := float64(members*budget.ProbeBytes) / interval.Seconds()
		require.LessOrEqual(t, cost, float64(budget.BytesPerSecond)*1.01, "%d members", members)
	}
	require.Equal(t, budget.MaxInterval, budget.Interval(10_000))
}

// TestNextTickIsDelayedOnlyWhenHealthy checks that ticks are not delayed while
// the primary is suspected.
func TestNextTickIsDelayedOnlyWhenHealthy(t *testing.T) {
	c := group.NewController([]string{"a"}, 0, testTiming, 1)
	c.OnStatus(group.Status{Member: "a", GrantedTerm: 1, Primary: true}, 0, 0)
	c.Tick(0)
	require.Equal(t, testTiming.Heartbeat, c.NextTick(0, 1))
	c.OnProbeFailed("a", 1, 1, true)
	require.Equal(t, time.Duration(1), c.NextTick(1, 1))
}

// TestHostsBackOffDuringAnotherClaim: a host that sees a newer term granted to
// another host waits for the reply timeout before it claims a term itself.
func TestHostsBackOffDuringAnotherClaim(t *testing.T) {
	c := failedPrimary(3)
	c.OnStatus(granted("b", 2), 20, 20)
	for now := time.Duration(20); now < 20+testTiming.ReplyTimeout; now++ {
		for _, a := range c.Tick(now) {
			require.Equal(t, group.Probe, a.Kind, "at %d", now)
		}
	}
	require.Equal(t, logpos.Term(3), claimedTerm(t, c, 20+testTiming.ReplyTimeout))
}
