package connpool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
	"github.com/dotterelswitch/dotterelswitch/core/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

const ms = time.Millisecond

var smallLimits = connpool.Limits{MaxOpen: 3, FairShare: 1, MaxWaiting: 4}

func waiter(id uint64, priority int, target, start time.Duration) connpool.Waiter {
	return connpool.Waiter{ID: id, Priority: priority, TargetDeadline: target, OnTimeUntil: start, StartDeadline: start}
}

// openInUse opens n connections that are in use.
func openInUse(t *testing.T, p *connpool.Pool, n int) {
	t.Helper()
	for i := range n {
		id := uint64(1000 + i)
		require.Equal(t, connpool.Queued, p.Acquire(waiter(id, 0, time.Hour, time.Hour), 0).Outcome)
		require.True(t, beginOpen(p, 0))
		w, found := p.Opened(connpool.Conn{ID: connpool.ConnID(i + 1)}, 0)
		require.True(t, found)
		require.Equal(t, id, w.ID)
	}
}

func TestOpensNoMoreThanWaiting(t *testing.T) {
	p := connpool.New(smallLimits)
	p.Acquire(waiter(1, 0, time.Hour, time.Hour), 0)
	require.True(t, beginOpen(p, 0))
	require.False(t, beginOpen(p, 0))
}

// TestConnectionsAboveFairShareExpireSoon checks that after a load peak the connections
// above the fair share are closed soon, so that other hosts can open theirs.
func TestConnectionsAboveFairShareExpireSoon(t *testing.T) {
	p := connpool.New(smallLimits)
	openInUse(t, p, 3)
	for id := range 3 {
		p.Released(connpool.Conn{ID: connpool.ConnID(id + 1)}, 10*ms, 100*ms)
	}
	require.Equal(t, 250*ms, p.NextIdleExpiry())
	require.Empty(t, p.ExpireIdle(249*ms))
	require.Len(t, p.ExpireIdle(250*ms), 2, "connections within the fair share stay open")
	require.Zero(t, p.NextIdleExpiry())
	require.Equal(t, 1, p.Open())
}

// TestExtraConnectionsExpire checks that connections that a lightly loaded host does not
// need are closed. Otherwise they use up the member's limit if the host crashes.
func TestExtraConnectionsExpire(t *testing.T) {
	p := connpool.New(connpool.Limits{MaxOpen: 7, FairShare: 7, MaxWaiting: 10})
	openInUse(t, p, 7)
	for id := range 7 {
		p.Released(connpool.Conn{ID: connpool.ConnID(id + 1)}, 10*ms, 0)
	}
	now := time.Duration(0)
	for ; now < 1500*ms; now += 100 * ms {
		d := p.Acquire(waiter(1, 0, time.Hour, time.Hour), now)
		require.Equal(t, connpool.Granted, d.Outcome)
		p.Released(connpool.Conn{ID: d.Conn}, 10*ms, now+10*ms)
		p.ExpireIdle(now + 10*ms)
	}
	require.Equal(t, 1, p.Open())
	require.Zero(t, p.NextIdleExpiry())
	require.Empty(t, p.ExpireIdle(now+time.Second), "the last connection stays open")
}

// TestBacksOffFromMemberAtLimit checks that no connection is opened for a while after a
// member refused one because of its limit.
func TestBacksOffFromMemberAtLimit(t *testing.T) {
	p := connpool.New(smallLimits)
	p.Acquire(waiter(1, 0, time.Hour, time.Hour), 0)
	require.True(t, beginOpen(p, 0))
	p.OpenFailed("", true, 0)
	require.False(t, beginOpen(p, 50*ms))
	require.Equal(t, 100*ms, p.RetryOpenAt(50*ms))
	require.True(t, beginOpen(p, 100*ms))
}

// TestOverloadIsRefusedImmediately checks that statements that cannot start in time are
// refused on arrival rather than after their deadline.
func TestOverloadIsRefusedImmediately(t *testing.T) {
	p := connpool.New(connpool.Limits{MaxOpen: 1, FairShare: 1, MaxWaiting: 1000})
	openInUse(t, p, 1)
	refused := 0
	for i := range 100 {
		d := p.Acquire(waiter(uint64(i), 1, 300*ms, 300*ms), 0)
		if d.Outcome == connpool.Refused {
			require.Greater(t, d.RetryAfter, 300*ms)
			refused++
		}
	}
	require.Equal(t, 10, p.Waiting(), "ten statements of 30 ms fit into 300 ms")
	require.Equal(t, 90, refused)
}

// TestLowerPriorityQueueDoesNotCauseRefusal checks that a statement of higher priority
// is not refused because of a long queue of lower priority, and is served next.
func TestLowerPriorityQueueDoesNotCauseRefusal(t *testing.T) {
	p := connpool.New(connpool.Limits{MaxOpen: 1, FairShare: 1, MaxWaiting: 1000})
	openInUse(t, p, 1)
	for i := range 100 {
		p.Acquire(waiter(uint64(i), 2, 500*ms, 500*ms), 0)
	}
	require.Equal(t, connpool.Queued, p.Acquire(waiter(200, 1, 300*ms, 300*ms), 0).Outcome)
	w, found := p.Released(connpool.Conn{ID: 1}, 10*ms, 10*ms)
	require.True(t, found)
	require.Equal(t, uint64(200), w.ID)
}

// refusedAt evaluates WaitUntil until it refuses the statement, and returns when.
func refusedAt(p *connpool.Pool, w connpool.Waiter, now time.Duration) time.Duration {
	for {
		until, keep := p.WaitUntil(w, now)
		if !keep {
			return now
		}
		now = until
	}
}

// TestWaitsWhileMemberIsAtLimit checks that statements wait while the member refuses
// connections because of its limit, as when all hosts restart at once, but not while
// the member is unreachable.
func TestWaitsWhileMemberIsAtLimit(t *testing.T) {
	p := connpool.New(smallLimits)
	w := connpool.Waiter{ID: 1, OnTimeUntil: 100 * ms, StartDeadline: 700 * ms}
	p.Acquire(w, 0)
	require.True(t, beginOpen(p, 0))
	p.OpenFailed("", true, 0)
	require.Equal(t, 700*ms, refusedAt(p, w, 0))
	require.True(t, beginOpen(p, 100*ms))
	p.OpenFailed("", false, 100*ms)
	require.Equal(t, 100*ms, refusedAt(p, w, 0), "an unreachable member is not waited for")
}

// TestLateStatementIsKeptWhileItCanBeServed checks that a late statement waits until its
// start deadline, because its caller retries only a few times.
func TestLateStatementIsKeptWhileItCanBeServed(t *testing.T) {
	p := connpool.New(connpool.Limits{MaxOpen: 1, FairShare: 1, MaxWaiting: 100})
	openInUse(t, p, 1)
	w := connpool.Waiter{ID: 1, TargetDeadline: 200 * ms, OnTimeUntil: 100 * ms, StartDeadline: 500 * ms}
	p.Acquire(w, 0)
	require.Equal(t, 500*ms, refusedAt(p, w, 0))
}

// TestLateStatementIsRefusedOnceItCannotBeServed checks that late statements are refused
// as soon as too many are queued: with 30 ms each, 13 fit into the remaining 400 ms.
func TestLateStatementIsRefusedOnceItCannotBeServed(t *testing.T) {
	p := connpool.New(connpool.Limits{MaxOpen: 1, FairShare: 1, MaxWaiting: 100})
	openInUse(t, p, 1)
	var queued []connpool.Waiter
	for i := range uint64(15) {
		w := connpool.Waiter{ID: i, TargetDeadline: 200*ms + time.Duration(i), OnTimeUntil: 100 * ms, StartDeadline: 500 * ms}
		require.Equal(t, connpool.Queued, p.Acquire(w, 0).Outcome)
		queued = append(queued, w)
	}
	kept := 0
	for _, w := range queued {
		if _, keep := p.WaitUntil(w, 101*ms); keep {
			kept++
		}
	}
	require.Equal(t, 13, kept)
}

// TestLateStatementIsNotStartedTooLateToFinish checks that a late statement is refused if
// the member's response time of 130 ms makes a response in time unlikely.
func TestLateStatementIsNotStartedTooLateToFinish(t *testing.T) {
	p := connpool.New(connpool.Limits{MaxOpen: 1, FairShare: 1, MaxWaiting: 100})
	openInUse(t, p, 1)
	for range 200 {
		p.ObserveResponse(130 * ms)
	}
	w := connpool.Waiter{ID: 1, TargetDeadline: 500 * ms, OnTimeUntil: 250 * ms, StartDeadline: 630 * ms}
	p.Acquire(w, 0)
	until := refusedAt(p, w, 0)
	require.Greater(t, until, w.OnTimeUntil)
	require.LessOrEqual(t, until, 370*ms)
	w.StartDeadline = 300 * ms
	require.Equal(t, 250*ms, refusedAt(p, w, 0), "an on-time statement is always started")
}

func TestServesByPriorityThenDeadline(t *testing.T) {
	p := connpool.New(connpool.Limits{MaxOpen: 1, FairShare: 1, MaxWaiting: 10})
	openInUse(t, p, 1)
	late := waiter(1, 2, 50*ms, time.Hour)
	late.OnTimeUntil = 50 * ms
	p.Acquire(late, 0)
	p.Acquire(waiter(2, 2, 200*ms, time.Hour), 0)
	p.Acquire(waiter(3, 2, 150*ms, time.Hour), 0)
	p.Acquire(waiter(4, 1, 60*ms, time.Hour), 0)
	var served []uint64
	for range 4 {
		w, found := p.Released(connpool.Conn{ID: 1}, 10*ms, 100*ms)
		require.True(t, found)
		served = append(served, w.ID)
	}
	require.Equal(t, []uint64{4, 3, 2, 1}, served, "order must be: priority, on-time by deadline, late")
}

func TestPrefersConnectionWithSameSessionValues(t *testing.T) {
	p := connpool.New(connpool.Limits{MaxOpen: 3, FairShare: 3, MaxWaiting: 4})
	openInUse(t, p, 3)
	p.Released(connpool.Conn{ID: 1, SessionValues: "x"}, ms, ms)
	p.Released(connpool.Conn{ID: 2, SessionValues: "y"}, ms, ms)
	p.Released(connpool.Conn{ID: 3, SessionValues: "z"}, ms, ms)
	d := p.Acquire(connpool.Waiter{ID: 9, SessionValues: "y", StartDeadline: time.Hour}, ms)
	require.Equal(t, connpool.ConnID(2), d.Conn)
	d = p.Acquire(connpool.Waiter{ID: 10, SessionValues: "none", StartDeadline: time.Hour}, ms)
	require.Equal(t, connpool.ConnID(3), d.Conn, "falls back to the most recently used")
}

// TestPoolInvariants applies random operations and checks that no connection is assigned
// twice, that the limit holds, and that no statement waits while a connection is idle.
func TestPoolInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := connpool.New(smallLimits)
		now := time.Duration(0)
		next := uint64(0)
		inUse := map[connpool.ConnID]bool{}
		opening := 0
		markInUse := func(id connpool.ConnID) {
			if inUse[id] {
				t.Fatalf("connection %d is assigned twice", id)
			}
			inUse[id] = true
		}
		lowestInUse := func() connpool.ConnID {
			ids := make([]connpool.ConnID, 0, len(inUse))
			for id := range inUse {
				ids = append(ids, id)
			}
			low := ids[0]
			for _, id := range ids {
				low = min(low, id)
			}
			return low
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * ms
			next++
			switch op := rapid.IntRange(0, 5).Draw(t, "step"); {
			case op <= 1:
				if d := p.Acquire(waiter(next, int(next%3), now+100*ms, now+time.Second), now); d.Outcome == connpool.Granted {
					markInUse(d.Conn)
				}
				for beginOpen(p, now) {
					opening++
				}
			case op == 2 && opening > 0:
				opening--
				if rapid.Bool().Draw(t, "fails") {
					p.OpenFailed("", rapid.Bool().Draw(t, "at limit"), now)
				} else if _, found := p.Opened(connpool.Conn{ID: connpool.ConnID(next)}, now); found {
					markInUse(connpool.ConnID(next))
				}
			case op == 3 && len(inUse) > 0:
				id := lowestInUse()
				delete(inUse, id)
				if _, found := p.Released(connpool.Conn{ID: id}, ms, now); found {
					markInUse(id)
				}
			case op == 4 && len(inUse) > 0:
				delete(inUse, lowestInUse())
				p.Closed("", ms)
			case op == 5:
				p.ExpireIdle(now)
			}
			if p.InUse() != len(inUse) {
				t.Fatalf("%d in use, the pool counts %d", len(inUse), p.InUse())
			}
			if p.Open() > smallLimits.MaxOpen {
				t.Fatalf("%d connections are open", p.Open())
			}
			if p.Idle() > 0 && p.Waiting() > 0 {
				t.Fatal("a statement waits while a connection is idle")
			}
		}
	})
}
