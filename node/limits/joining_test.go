package limits_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/quota"
	"github.com/dotterelswitch/dotterelswitch/node/limits"
)

// directNetwork connects limiters by address without a network.
type directNetwork map[string]*limits.Limiter

func (n directNetwork) requestGrant(_ context.Context, address, team string, wanted int) (quota.Grant, bool) {
	l, found := n[address]
	if !found {
		return quota.Grant{}, false
	}
	return l.Acquire(team, wanted), true
}

func (n directNetwork) announce(_ context.Context, address, team string, self quota.Host) ([]quota.Host, bool) {
	l, found := n[address]
	if !found {
		return nil, false
	}
	return l.Announced(team, self), true
}

// start returns the limiter of a host that has registered and knows the given hosts.
func (n directNetwork) start(self string, registeredBefore bool, known ...string) *limits.Limiter {
	l := limits.New(limits.Config{
		Self: quotaHost(self), Tolerance: quota.Tolerance{Window: time.Second}, RequestGrant: n.requestGrant, Announce: n.announce,
		Limit:             func(string) (quota.Limit, bool) { return team.Limit, true },
		RegisteredAtStart: func() bool { return registeredBefore },
	})
	n[self] = l
	knows(l, known...)
	return l
}

// knows sets the hosts whose registrations have reached a host.
func knows(l *limits.Limiter, names ...string) {
	var hosts []quota.Host
	addresses := map[string]string{}
	for _, name := range names {
		hosts = append(hosts, quotaHost(name))
		addresses[name] = name
	}
	l.SetFleet(hosts, addresses)
}

func quotaHost(name string) quota.Host { return quota.Host{Name: name, Region: "a", Address: name} }

// replacement is a host that replaces one of a team's two counters when it joins.
type replacement struct{ joining, replaced, kept string }

func (r replacement) counters() []string { return []string{r.replaced, r.kept} }

func (r replacement) all() []string { return []string{r.replaced, r.kept, r.joining} }

func newReplacement(t *testing.T) replacement {
	t.Helper()
	for _, joining := range []string{"h1", "h2", "h3", "h4", "h5"} {
		hosts := []quota.Host{quotaHost("a"), quotaHost("b"), quotaHost(joining)}
		counters := quota.Place(team.Name, team.Limit, quota.Tolerance{Window: time.Second}, hosts, quotaHost(joining)).Counters
		switch {
		case counters[0] != joining:
		case counters[1] == "a":
			return replacement{joining: joining, replaced: "b", kept: "a"}
		default:
			return replacement{joining: joining, replaced: "a", kept: "b"}
		}
	}
	t.Fatal("no host replaces a counter")
	return replacement{}
}

// TestJoiningCounterStopsTheOneItReplaces guards against a limit that is granted twice
// while a registration has not reached all hosts.
func TestJoiningCounterStopsTheOneItReplaces(t *testing.T) {
	n, r := directNetwork{}, newReplacement(t)
	for _, c := range r.counters() {
		n.start(c, true, r.counters()...)
	}
	joining := n.start(r.joining, false, r.all()...)
	require.Zero(t, joining.Acquire(team.Name, 1).Granted, "the counter that it replaces has not acknowledged it")
	require.Eventually(t, func() bool { return joining.Acquire(team.Name, 1).Granted == 1 }, time.Second, time.Millisecond)
	require.Zero(t, n[r.replaced].Acquire(team.Name, 1).Granted, "it has stopped, though it has not heard of the registration")
	require.Equal(t, 1, n[r.kept].Acquire(team.Name, 1).Granted)
}

// TestJoiningHostIsServedByEarlierCounters covers a counter that cannot acknowledge the
// joining host.
func TestJoiningHostIsServedByEarlierCounters(t *testing.T) {
	n, r := directNetwork{}, newReplacement(t)
	n.start(r.kept, true, r.counters()...)
	joining := n.start(r.joining, false, r.all()...)
	time.Sleep(accrualTime)
	_, admitted := joining.Admit(t.Context(), team)
	require.True(t, admitted)
	require.Zero(t, joining.Acquire(team.Name, 1).Granted)
}

// TestJoiningCounterDoesNotNeedTheOneThatStays covers a cut between regions: the counter
// on the other side grants the same with and without the joining host.
func TestJoiningCounterDoesNotNeedTheOneThatStays(t *testing.T) {
	n, r := directNetwork{}, newReplacement(t)
	n.start(r.replaced, true, r.counters()...)
	joining := n.start(r.joining, false, r.all()...)
	require.Eventually(t, func() bool { return joining.Acquire(team.Name, 1).Granted == 1 }, time.Second, time.Millisecond)
}

// TestRefusedHostLearnsOfJoinedCounter covers a host that has not heard of the
// registration and still asks the counter that has stopped.
func TestRefusedHostLearnsOfJoinedCounter(t *testing.T) {
	n, r := directNetwork{}, newReplacement(t)
	for _, c := range r.counters() {
		n.start(c, true, r.counters()...)
	}
	joining := n.start(r.joining, false, r.all()...)
	require.Eventually(t, func() bool { return joining.Acquire(team.Name, 1).Granted == 1 }, time.Second, time.Millisecond)
	uninformed := n.start("z", true, r.replaced)
	time.Sleep(accrualTime)
	_, admitted := uninformed.Admit(t.Context(), team)
	require.True(t, admitted, "granted by a counter that the refusal names")
	require.Contains(t, uninformed.CountersOf(team.Name), r.joining)
}

// accrualTime is enough for the buckets of the counters to hold an operation.
const accrualTime = 50 * time.Millisecond
