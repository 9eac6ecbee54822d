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

// displacing returns the names of two hosts that the team has as its counters and of one
// that replaces one of them when it joins.
func displacing(t *testing.T) (joining string, counters []string) {
	t.Helper()
	for _, joining := range []string{"h1", "h2", "h3", "h4", "h5"} {
		others := []quota.Host{quotaHost("a"), quotaHost("b")}
		p := quota.Place(team.Name, team.Limit, quota.Tolerance{Window: time.Second}, append(others, quotaHost(joining)), quotaHost(joining))
		if p.Counters[0] == joining {
			return joining, []string{"a", "b"}
		}
	}
	t.Fatal("no host replaces a counter")
	return "", nil
}

// TestJoiningCounterStopsTheOneItReplaces guards against a limit that is granted twice
// while a registration has not reached all hosts.
func TestJoiningCounterStopsTheOneItReplaces(t *testing.T) {
	n := directNetwork{}
	name, counters := displacing(t)
	for _, c := range counters {
		n.start(c, true, counters...)
	}
	joining := n.start(name, false, append(counters, name)...)
	require.Zero(t, joining.Acquire(team.Name, 1).Granted, "no other counter has acknowledged it")
	require.Eventually(t, func() bool { return joining.Acquire(team.Name, 1).Granted == 1 }, time.Second, time.Millisecond)
	granting := 0
	for _, c := range counters {
		if n[c].Acquire(team.Name, 1).Granted > 0 {
			granting++
		}
	}
	require.Equal(t, 1, granting, "the other has stopped, though it has not heard of the registration")
}

// TestJoiningHostIsServedByEarlierCounters covers a counter that cannot acknowledge the
// joining host.
func TestJoiningHostIsServedByEarlierCounters(t *testing.T) {
	n := directNetwork{}
	name, counters := displacing(t)
	n.start(counters[0], true, counters...)
	joining := n.start(name, false, append(counters, name)...)
	time.Sleep(50 * time.Millisecond)
	_, admitted := joining.Admit(t.Context(), team)
	require.True(t, admitted)
	require.Zero(t, joining.Acquire(team.Name, 1).Granted)
}

// TestRefusedHostLearnsOfJoinedCounter covers a host that has not heard of the
// registration and still asks the counter that has stopped.
func TestRefusedHostLearnsOfJoinedCounter(t *testing.T) {
	n := directNetwork{}
	name, counters := displacing(t)
	for _, c := range counters {
		n.start(c, true, counters...)
	}
	joining := n.start(name, false, append(counters, name)...)
	require.Eventually(t, func() bool { return joining.Acquire(team.Name, 1).Granted == 1 }, time.Second, time.Millisecond)
	for _, c := range counters {
		if n[c].Acquire(team.Name, 1).Granted == 0 {
			uninformed := n.start("z", true, c)
			time.Sleep(50 * time.Millisecond)
			_, admitted := uninformed.Admit(t.Context(), team)
			require.True(t, admitted, "granted by the counter that the refusal names")
			require.Contains(t, uninformed.CountersOf(team.Name), name)
		}
	}
}
