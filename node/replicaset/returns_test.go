package replicaset

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/connpool"
	"github.com/dotterelswitch/dotterelswitch/core/directory"
	"github.com/dotterelswitch/dotterelswitch/core/feature"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/returns"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// newBusySet returns the set of one of several hosts. The members' connections are never
// established.
func newBusySet(host string, hosts int, disabled ...feature.Name) *Set {
	features := feature.Set{}
	for _, n := range disabled {
		features[n] = true
	}
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	s := New(Config{Service: "svc", Host: host, Dial: dial, Features: features, Log: zerolog.Nop()})
	var fleet []gates.Host
	for i := range hosts {
		fleet = append(fleet, gates.Host{Name: fmt.Sprintf("h%d", i), Zone: "z", Address: fmt.Sprintf("a%d", i)})
	}
	m := directory.Member{Entry: directory.Entry{ID: "m", Service: "svc", Zone: "z", Slots: 4}}
	s.Update([]directory.Member{m}, catalog.Service{MaxConnections: 28}, gates.NewFleet(fleet, nil))
	return s
}

// primaryWrite returns a write with the given text and time.
func primaryWrite(text string, timeout time.Duration) Request {
	req := requestUntil(clock.Now() + timeout)
	req.Route.Consistency = catalog.Primary
	req.Statement = statement.Statement{Kind: statement.Write, Text: text}
	return req
}

// retryTimesOf returns the retry times of writes of many callers of each set.
func retryTimesOf(t *testing.T, sets []*Set, callers int, timeout time.Duration) []time.Duration {
	t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var told []time.Duration
	for _, s := range sets {
		for range callers {
			wg.Go(func() {
				out := s.Write(context.Background(), primaryWrite("w", timeout))
				var delay int
				_, err := fmt.Sscanf(out.Answer.Detail, "not run, retry after %d ms", &delay)
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					told = append(told, time.Duration(delay)*time.Millisecond)
				}
			})
		}
	}
	wg.Wait()
	require.Len(t, told, len(sets)*callers)
	slices.Sort(told)
	return told
}

// mostTold returns the largest number of retry times within 100 ms.
func mostTold(told []time.Duration) int {
	most, from := 0, 0
	for i, d := range told {
		for d-told[from] >= 100*time.Millisecond {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// TestGroupWithoutPrimarySpreadsReturns guards against callers of several hosts that are
// all told to return 500 ms after a primary was lost: those that waited until their time was
// over, and those that came later and were refused at once.
func TestGroupWithoutPrimarySpreadsReturns(t *testing.T) {
	const hosts, callers = 6, 100
	setsWithout := func(disabled ...feature.Name) []*Set {
		var sets []*Set
		for i := range hosts {
			s := newBusySet(fmt.Sprintf("h%d", i), hosts, disabled...)
			s.returns.primaryRate = 333
			sets = append(sets, s)
		}
		return sets
	}
	for _, c := range []struct {
		name    string
		timeout time.Duration
		since   time.Duration
	}{{"waited", 100 * time.Millisecond, 0}, {"refused at once", 2 * time.Second, 2 * failoverTimeout}} {
		t.Run(c.name, func(t *testing.T) {
			lose := func(sets []*Set) []*Set {
				for _, s := range sets {
					if c.since > 0 {
						s.noPrimarySince = clock.Now() - c.since
					}
				}
				return sets
			}
			before := retryTimesOf(t, lose(setsWithout(feature.ReturnSchedule)), callers, c.timeout)
			after := retryTimesOf(t, lose(setsWithout()), callers, c.timeout)
			t.Logf("at most %d within 100 ms, before %d; from %v to %v", mostTold(after), mostTold(before), after[0], after[len(after)-1])
			require.Equal(t, hosts*callers, mostTold(before))
			require.LessOrEqual(t, mostTold(after), 2*33)
			require.GreaterOrEqual(t, after[0], defaultRetryAfter)
			require.LessOrEqual(t, after[len(after)-1], returns.MaxDelay)
		})
	}
}

// refuseAsFull returns the retry time of a write that a full queue refuses.
func refuseAsFull(t *testing.T, m *Member, req Request, returned returns.Return) time.Duration {
	t.Helper()
	err := m.scheduleReturn(t.Context(), Job{Kind: JobWrite, Request: req}, req.waiter(), returned, &RefusedError{Reason: "full", RetryAfter: 2 * time.Millisecond})
	var refused *RefusedError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, "full", refused.Reason)
	return refused.RetryAfter
}

// TestLostGateLeavesNothingBehind guards against refusals that depend on a lost gate: a
// statement that comes back is recognized by its gate, while the next gate treats it as new
// and schedules it at once.
func TestLostGateLeavesNothingBehind(t *testing.T) {
	gate, _ := newBusySet("h0", 1).Member("m")
	next, _ := newBusySet("h0", 1).Member("m")
	first := primaryWrite("w", 2*time.Second)
	delay := refuseAsFull(t, gate, first, returns.Return{})
	for range 200 {
		refuseAsFull(t, gate, primaryWrite("other", 2*time.Second), returns.Return{})
	}
	require.True(t, clock.Sleep(t.Context(), delay))
	again := primaryWrite("w", 2*time.Second)
	w, returned := gate.newWaiter(Job{Kind: JobWrite, Request: again})
	require.Equal(t, first.TargetDeadline, w.TargetDeadline)
	require.Equal(t, 1, returned.Refusals)
	w, returned = next.newWaiter(Job{Kind: JobWrite, Request: again})
	require.Equal(t, again.TargetDeadline, w.TargetDeadline)
	require.Zero(t, returned)
	require.Less(t, refuseAsFull(t, next, again, returned), 100*time.Millisecond)
	counts, told := gate.set.TakeReturnCounts(), 0
	counts.Each(func(_ int, _ time.Duration, n int) { told += n })
	require.Equal(t, 1, counts.Recognized)
	require.Equal(t, 201, told)
	require.Zero(t, gate.set.TakeReturnCounts())
}

// TestSlotsAreDividedAmongHostsWithoutGates guards against hosts that each schedule returns
// for all slots of a member when every host has connections of its own.
func TestSlotsAreDividedAmongHostsWithoutGates(t *testing.T) {
	latest := func(hosts int) time.Duration {
		m, _ := newBusySet("h0", hosts, feature.Gates).Member("m")
		var most time.Duration
		for range 60 {
			most = max(most, refuseAsFull(t, m, primaryWrite("w", 4*time.Second), returns.Return{}))
		}
		return most
	}
	require.Less(t, latest(1), time.Second)
	require.Greater(t, latest(4), time.Second)
	require.Greater(t, latest(8), 3*time.Second)
}

// TestGateSchedulesRefusedReads guards against a gate that refuses the reads of a full queue
// with the same forecast, or does not recognize one that comes back.
func TestGateSchedulesRefusedReads(t *testing.T) {
	refuse := func(disabled ...feature.Name) (*Set, []time.Duration) {
		s := newBusySet("h0", 1, disabled...)
		m, _ := s.Member("m")
		m.pool = connpool.New(connpool.Limits{MaxOpen: 1, MaxWaiting: 1})
		now := clock.Now()
		for id := range uint64(2) {
			m.pool.Acquire(connpool.Waiter{ID: id + 1, StartDeadline: now + time.Minute}, now)
			if _, due := m.pool.BeginOpen(now); due {
				m.pool.Opened(connpool.Conn{ID: 1}, now)
			}
		}
		var told []time.Duration
		for i := range 200 {
			res := s.Execute(t.Context(), Job{Kind: JobRead, Member: "m", Floor: logpos.Position{Term: 1}, Request: primaryWrite(fmt.Sprint(i), 4*time.Second)})
			var refused *RefusedError
			require.ErrorAs(t, res.Err, &refused)
			require.Positive(t, refused.RetryAfter)
			told = append(told, refused.RetryAfter)
		}
		return s, told
	}
	_, before := refuse(feature.ReturnSchedule)
	require.Equal(t, len(before), mostTold(before))
	s, after := refuse()
	first := after[0]
	slices.Sort(after)
	require.LessOrEqual(t, mostTold(after), 30)
	require.True(t, clock.Sleep(t.Context(), first))
	s.Execute(t.Context(), Job{Kind: JobRead, Member: "m", Floor: logpos.Position{Term: 1}, Request: primaryWrite("0", 4*time.Second)})
	require.Equal(t, 1, s.TakeReturnCounts().Recognized)
}

// TestOnlyOverloadIsScheduled guards against a retry time for a statement that its host can
// still run elsewhere: it would refuse the statement instead.
func TestOnlyOverloadIsScheduled(t *testing.T) {
	outOfTime := &RefusedError{Reason: "late", outOfTime: true}
	replicaRead := primaryWrite("r", 2*time.Second)
	replicaRead.Route.Consistency = catalog.BoundedStaleness
	for _, c := range []struct {
		name      string
		err       error
		busy      bool
		job       Job
		disabled  []feature.Name
		scheduled bool
	}{
		{"busy member", outOfTime, true, Job{Kind: JobWrite, Request: primaryWrite("w", 2*time.Second)}, nil, true},
		{"unreachable member", outOfTime, false, Job{Kind: JobWrite, Request: primaryWrite("w", 2*time.Second)}, nil, false},
		{"read for a replica", outOfTime, true, Job{Kind: JobPrimaryRead, Request: replicaRead}, nil, false},
		{"dead member", &RefusedError{MemberDead: true}, true, Job{Kind: JobWrite, Request: primaryWrite("w", 2*time.Second)}, nil, false},
		{"other reason", errNoFloor, true, Job{Kind: JobRead, Request: replicaRead}, nil, false},
		{"disabled", outOfTime, true, Job{Kind: JobWrite, Request: primaryWrite("w", 2*time.Second)}, []feature.Name{feature.ReturnSchedule}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newBusySet("h0", 1, c.disabled...)
			m, _ := s.Member("m")
			s.primaryTracker.ObserveClaim("m", 1)
			if c.busy {
				m.pool.Acquire(connpool.Waiter{ID: 1, StartDeadline: clock.Now() + time.Minute}, clock.Now())
				m.pool.BeginOpen(clock.Now())
				m.pool.Opened(connpool.Conn{ID: 1}, clock.Now())
			}
			w, returned := m.newWaiter(c.job)
			err := m.scheduleReturn(t.Context(), c.job, w, returned, c.err)
			require.Equal(t, c.scheduled, overloaded(err))
			if !c.scheduled {
				require.Equal(t, c.err, err)
			}
		})
	}
}
