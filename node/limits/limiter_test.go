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

// team is limited to more than a test asks for.
var team = catalog.Team{Name: "schools", Limit: quota.Limit{Bounded: true, Rate: 1000, Burst: 1000}}

// network carries the requests of one limiter to made-up counters.
type network struct {
	mu sync.Mutex
	// silent are the addresses that do not answer, and empty those that have nothing left.
	silent, empty map[string]bool
	// held keeps answers back until it is closed; nil for none.
	held  chan struct{}
	asked []string
}

func (n *network) ask(ctx context.Context, address, _ string, wanted int) (quota.Grant, bool) {
	n.mu.Lock()
	n.asked = append(n.asked, address)
	silent, empty := n.silent[address], n.empty[address]
	n.mu.Unlock()
	if n.held != nil {
		select {
		case <-n.held:
		case <-ctx.Done():
			return quota.Grant{}, false
		}
	}
	if silent {
		<-ctx.Done()
		return quota.Grant{}, false
	}
	if empty {
		return quota.Grant{RetryAfter: time.Second}, true
	}
	return quota.Grant{Granted: wanted}, true
}

func (n *network) requests() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.asked
}

// limiter returns a limiter of a host that counts nothing itself, and the addresses
// of the team's counters in the order in which it asks them.
func limiter(t *testing.T, n *network) (*limits.Limiter, []string) {
	t.Helper()
	l := limits.New(limits.Config{
		Self: quota.Host{Name: "self", Region: "a"}, Ask: n.ask,
		Limit:      func(name string) (quota.Limit, bool) { return team.Limit, name == team.Name },
		Remembered: func() bool { return false },
	})
	hosts := []quota.Host{{Name: "a1", Region: "a"}, {Name: "b1", Region: "b"}, {Name: "c1", Region: "c"}}
	l.SetFleet(hosts, map[string]string{"a1": "a1:1", "b1": "b1:1", "c1": "c1:1"})
	var addresses []string
	for _, name := range l.CountersOf(team.Name) {
		addresses = append(addresses, name+":1")
	}
	require.Len(t, addresses, 3)
	require.Equal(t, "a1:1", addresses[0], "the counter of its own region first")
	return l, addresses
}

func TestCounterOfTheRegionIsAsked(t *testing.T) {
	n := &network{}
	l, _ := limiter(t, n)
	_, admitted := l.Admit(context.Background(), team)
	require.True(t, admitted)
	require.Equal(t, []string{"a1:1"}, n.requests())
}

// TestOtherCountersStandInForASilentOne: the operation is admitted, and the silent
// counter is not asked again by the next one.
func TestOtherCountersStandInForASilentOne(t *testing.T) {
	n := &network{silent: map[string]bool{"a1:1": true}}
	l, counters := limiter(t, n)
	_, admitted := l.Admit(context.Background(), team)
	require.True(t, admitted)
	before := len(n.requests())
	_, admitted = l.Admit(context.Background(), team)
	require.True(t, admitted)
	require.Equal(t, []string{counters[1]}, n.requests()[before:])
}

func TestOtherCountersStandInForAnEmptyOne(t *testing.T) {
	n := &network{empty: map[string]bool{"a1:1": true}}
	l, counters := limiter(t, n)
	_, admitted := l.Admit(context.Background(), team)
	require.True(t, admitted)
	require.Equal(t, counters[:2], n.requests())
}

// TestRefusedOnceAllAreEmpty: and the next one at once, without a request.
func TestRefusedOnceAllAreEmpty(t *testing.T) {
	n := &network{empty: map[string]bool{"a1:1": true, "b1:1": true, "c1:1": true}}
	l, _ := limiter(t, n)
	retryAfter, admitted := l.Admit(context.Background(), team)
	require.False(t, admitted)
	require.Positive(t, retryAfter)
	before := len(n.requests())
	_, admitted = l.Admit(context.Background(), team)
	require.False(t, admitted)
	require.Len(t, n.requests(), before)
}

// TestCutOffHostRefusesInTime: without any answer an operation is refused well before
// its caller's time is over.
func TestCutOffHostRefusesInTime(t *testing.T) {
	n := &network{silent: map[string]bool{"a1:1": true, "b1:1": true, "c1:1": true}}
	l, _ := limiter(t, n)
	began := time.Now()
	_, admitted := l.Admit(context.Background(), team)
	require.False(t, admitted)
	require.Less(t, time.Since(began), 2*time.Second)
}

// TestUnknownTeamIsGrantedNothing: a host that has not heard of a team yet sends the one
// that asks to another counter.
func TestUnknownTeamIsGrantedNothing(t *testing.T) {
	l, _ := limiter(t, &network{})
	require.Zero(t, l.Acquire("newer", 1).Granted)
	require.Zero(t, l.Acquire(team.Name, 1).Granted, "this host counts no team")
}

func TestTeamWithoutLimitAsksNobody(t *testing.T) {
	n := &network{}
	l, _ := limiter(t, n)
	_, admitted := l.Admit(context.Background(), catalog.Team{Name: "free"})
	require.True(t, admitted)
	require.Empty(t, n.requests())
}

// TestNobodyIsLeftWaiting: callers that come while a request is under way, whose answer
// is that nothing is left, are told so with it.
func TestNobodyIsLeftWaiting(t *testing.T) {
	answer := make(chan struct{})
	n := &network{empty: map[string]bool{"a1:1": true, "b1:1": true, "c1:1": true}, held: answer}
	l, _ := limiter(t, n)
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
	close(answer)
	for range callers {
		select {
		case admitted := <-done:
			require.False(t, admitted)
		case <-time.After(2 * time.Second):
			t.Fatal("a caller is left waiting")
		}
	}
}

// grantedAfterJoining returns what a host that counts a team grants of it just after it
// is registered, some time after its start.
func grantedAfterJoining(remembered bool) int {
	l := limits.New(limits.Config{
		Self:       quota.Host{Name: "self", Region: "a"},
		Limit:      func(string) (quota.Limit, bool) { return team.Limit, true },
		Remembered: func() bool { return remembered },
	})
	time.Sleep(200 * time.Millisecond)
	l.SetFleet([]quota.Host{{Name: "self", Region: "a"}}, map[string]string{"self": "self:1"})
	return l.Acquire(team.Name, 10_000).Granted
}

// TestHostThatIsBackGrantsWhatCameInSinceItsStart replays the return of a fleet from a
// loss of power that was shorter than its leases, with all callers back at once. A
// host that joins anew takes over from one that has granted all of it.
func TestHostThatIsBackGrantsWhatCameInSinceItsStart(t *testing.T) {
	require.Greater(t, grantedAfterJoining(true), 2*grantedAfterJoining(false))
}
