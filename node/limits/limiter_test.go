package limits_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/quota"
	"github.com/dotterelswitch/dotterelswitch/node/limits"
)

// team has a limit that no test reaches.
var team = catalog.Team{Name: "schools", Limit: quota.Limit{Bounded: true, Rate: 1000, Burst: 1000}}

// fakeNetwork answers the requests of one limiter in place of its counters.
type fakeNetwork struct {
	mu sync.Mutex
	// unresponsive holds addresses that do not answer, exhausted those that have nothing
	// left to grant.
	unresponsive, exhausted map[string]bool
	// release delays all answers until it is closed; nil for no delay.
	release   chan struct{}
	requested []string
}

func (n *fakeNetwork) requestGrant(ctx context.Context, address, _ string, wanted int) (quota.Grant, bool) {
	n.mu.Lock()
	n.requested = append(n.requested, address)
	unresponsive, exhausted := n.unresponsive[address], n.exhausted[address]
	n.mu.Unlock()
	if n.release != nil {
		select {
		case <-n.release:
		case <-ctx.Done():
			return quota.Grant{}, false
		}
	}
	if unresponsive {
		<-ctx.Done()
		return quota.Grant{}, false
	}
	if exhausted {
		return quota.Grant{RetryAfter: time.Second}, true
	}
	return quota.Grant{Granted: wanted}, true
}

func (n *fakeNetwork) requests() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.requested
}

// newLimiter returns a limiter of a host that is no counter itself, and the addresses of
// the team's counters in the order in which it requests grants.
func newLimiter(t *testing.T, n *fakeNetwork) (*limits.Limiter, []string) {
	t.Helper()
	l := limits.New(limits.Config{
		Self: quota.Host{Name: "self", Region: "a"}, RequestGrant: n.requestGrant,
		Limit:             func(name string) (quota.Limit, bool) { return team.Limit, name == team.Name },
		RegisteredAtStart: func() bool { return false },
	})
	hosts := []quota.Host{{Name: "a1", Region: "a"}, {Name: "b1", Region: "b"}, {Name: "c1", Region: "c"}}
	l.SetFleet(hosts, map[string]string{"a1": "a1:1", "b1": "b1:1", "c1": "c1:1"})
	var addresses []string
	for _, name := range l.CountersOf(team.Name) {
		addresses = append(addresses, name+":1")
	}
	require.Len(t, addresses, 3)
	require.Equal(t, "a1:1", addresses[0], "the counter of the host's own region comes first")
	return l, addresses
}

func TestCounterInOwnRegionIsPreferred(t *testing.T) {
	n := &fakeNetwork{}
	l, _ := newLimiter(t, n)
	_, admitted := l.Admit(context.Background(), team)
	require.True(t, admitted)
	require.Equal(t, []string{"a1:1"}, n.requests())
}

// TestOtherCountersReplaceUnresponsiveOne also checks that the next operation skips the
// unresponsive counter.
func TestOtherCountersReplaceUnresponsiveOne(t *testing.T) {
	n := &fakeNetwork{unresponsive: map[string]bool{"a1:1": true}}
	l, counters := newLimiter(t, n)
	_, admitted := l.Admit(context.Background(), team)
	require.True(t, admitted)
	before := len(n.requests())
	_, admitted = l.Admit(context.Background(), team)
	require.True(t, admitted)
	require.Equal(t, []string{counters[1]}, n.requests()[before:])
}

func TestOtherCountersReplaceExhaustedOne(t *testing.T) {
	n := &fakeNetwork{exhausted: map[string]bool{"a1:1": true}}
	l, counters := newLimiter(t, n)
	_, admitted := l.Admit(context.Background(), team)
	require.True(t, admitted)
	require.Equal(t, counters[:2], n.requests())
}

// TestRefusedWhenAllCountersAreExhausted also checks that the next operation is refused
// without a request.
func TestRefusedWhenAllCountersAreExhausted(t *testing.T) {
	n := &fakeNetwork{exhausted: map[string]bool{"a1:1": true, "b1:1": true, "c1:1": true}}
	l, _ := newLimiter(t, n)
	retryAfter, admitted := l.Admit(context.Background(), team)
	require.False(t, admitted)
	require.Positive(t, retryAfter)
	before := len(n.requests())
	_, admitted = l.Admit(context.Background(), team)
	require.False(t, admitted)
	require.Len(t, n.requests(), before)
}

// TestIsolatedHostRefusesPromptly checks that an operation is refused well before its
// caller's timeout if no counter answers.
func TestIsolatedHostRefusesPromptly(t *testing.T) {
	n := &fakeNetwork{unresponsive: map[string]bool{"a1:1": true, "b1:1": true, "c1:1": true}}
	l, _ := newLimiter(t, n)
	start := time.Now()
	_, admitted := l.Admit(context.Background(), team)
	require.False(t, admitted)
	require.Less(t, time.Since(start), 2*time.Second)
}

// TestUnknownTeamIsGrantedNothing checks that a host grants nothing of a team that its
// configuration lacks or that it does not count.
func TestUnknownTeamIsGrantedNothing(t *testing.T) {
	l, _ := newLimiter(t, &fakeNetwork{})
	require.Zero(t, l.Acquire("newer", 1).Granted)
	require.Zero(t, l.Acquire(team.Name, 1).Granted, "this host is no counter of the team")
}

func TestUnlimitedTeamSendsNoRequests(t *testing.T) {
	n := &fakeNetwork{}
	l, _ := newLimiter(t, n)
	_, admitted := l.Admit(context.Background(), catalog.Team{Name: "free"})
	require.True(t, admitted)
	require.Empty(t, n.requests())
}

// TestWaitingCallersAreRefusedWithPendingRequest guards against callers that wait
// forever if they arrive during a request that is answered with nothing granted.
func TestWaitingCallersAreRefusedWithPendingRequest(t *testing.T) {
	release := make(chan struct{})
	n := &fakeNetwork{exhausted: map[string]bool{"a1:1": true, "b1:1": true, "c1:1": true}, release: release}
	l, _ := newLimiter(t, n)
	const callers = 5
	done := make(chan bool, callers)
	for range callers {
		go func() {
			_, admitted := l.Admit(context.Background(), team)
			done <- admitted
		}()
	}
	require.Eventually(t, func() bool { return len(n.requests()) > 0 }, time.Second, time.Millisecond)
	time.Sleep(20 * time.Millisecond)
	close(release)
	for range callers {
		select {
		case admitted := <-done:
			require.False(t, admitted)
		case <-time.After(2 * time.Second):
			t.Fatal("a caller is still waiting")
		}
	}
}

// grantedAfterJoining returns how many operations a counter grants just after its
// registration, 200 ms after its start.
func grantedAfterJoining(registeredAtStart bool) int {
	l := limits.New(limits.Config{
		Self:              quota.Host{Name: "self", Region: "a"},
		Limit:             func(string) (quota.Limit, bool) { return team.Limit, true },
		RegisteredAtStart: func() bool { return registeredAtStart },
	})
	time.Sleep(200 * time.Millisecond)
	l.SetFleet([]quota.Host{{Name: "self", Region: "a"}}, map[string]string{"self": "self:1"})
	return l.Acquire(team.Name, 10_000).Granted
}

// TestRestartedHostGrantsAllowanceSinceStart compares a host whose registration survived
// its restart with one that joins for the first time. The latter takes over from a counter that may
// have granted the whole allowance already.
func TestRestartedHostGrantsAllowanceSinceStart(t *testing.T) {
	require.Greater(t, grantedAfterJoining(true), 2*grantedAfterJoining(false))
}
