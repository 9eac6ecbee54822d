package connpool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
)

// alternatingLoad alternates between more and less load than a pool can run.
type alternatingLoad struct {
	pool    *connpool.Pool
	ends    map[connpool.ConnID]time.Duration
	running map[connpool.ConnID]uint64
	arrived map[uint64]time.Duration
	// queued holds the waiting statements.
	queued map[uint64]queuedWaiter
	// withinTarget, pastTarget and refused count statements by result.
	withinTarget, pastTarget, refused int
}

type queuedWaiter struct {
	connpool.Waiter
	recheckAt time.Duration
}

const (
	loadServiceTime = 15 * ms
	loadTarget      = 300 * ms
	loadSlots       = 2
	loadDuration    = 12 * time.Second
	// overloadInterval and lightLoadInterval are the intervals between statements in
	// alternate seconds. The pool can run one per 7.5 ms.
	overloadInterval, lightLoadInterval = 5 * ms, 13 * ms
)

func (l *alternatingLoad) start(id connpool.ConnID, statement uint64, now time.Duration) {
	delete(l.queued, statement)
	l.ends[id], l.running[id] = now+loadServiceTime, statement
}

func (l *alternatingLoad) finish(now time.Duration) {
	for id := connpool.ConnID(1); id <= loadSlots; id++ {
		if at, busy := l.ends[id]; !busy || at > now {
			continue
		}
		if now-l.arrived[l.running[id]] <= loadTarget {
			l.withinTarget++
		} else {
			l.pastTarget++
		}
		delete(l.ends, id)
		if next, found := l.pool.Released(connpool.Conn{ID: id}, loadServiceTime, now); found {
			l.start(id, next.ID, now)
		}
	}
}

func (l *alternatingLoad) recheck(now time.Duration) {
	for id, q := range l.queued {
		if q.recheckAt > now {
			continue
		}
		until, keep := l.pool.WaitUntil(q.Waiter, now)
		if !keep {
			l.pool.CancelWait(id)
			delete(l.queued, id)
			l.refused++
			continue
		}
		q.recheckAt = until
		l.queued[id] = q
	}
}

func (l *alternatingLoad) submit(id uint64, now, maxWait time.Duration) {
	onTimeUntil := now + time.Duration(connpool.OnTimeWaitFraction*float64(loadTarget))
	q := connpool.Waiter{ID: id, Priority: 1, TargetDeadline: now + loadTarget, OnTimeUntil: onTimeUntil, StartDeadline: max(onTimeUntil, now+maxWait)}
	l.arrived[id] = now
	switch d := l.pool.Acquire(q, now); d.Outcome {
	case connpool.Granted:
		l.start(d.Conn, id, now)
	case connpool.Queued:
		l.queued[id] = queuedWaiter{q, onTimeUntil}
	default:
		l.refused++
	}
}

// runAlternatingLoad runs the load with the given maximum wait of a statement.
func runAlternatingLoad(t *testing.T, maxWait time.Duration) *alternatingLoad {
	t.Helper()
	l := &alternatingLoad{
		pool: connpool.New(connpool.Limits{MaxOpen: loadSlots, FairShare: loadSlots, MaxWaiting: 1000}),
		ends: map[connpool.ConnID]time.Duration{}, running: map[connpool.ConnID]uint64{},
		arrived: map[uint64]time.Duration{}, queued: map[uint64]queuedWaiter{},
	}
	openInUse(t, l.pool, loadSlots)
	for id := range loadSlots {
		l.pool.Released(connpool.Conn{ID: connpool.ConnID(id + 1)}, loadServiceTime, 0)
	}
	next, id := time.Duration(0), uint64(5000)
	for now := time.Duration(0); now < loadDuration; now += ms {
		l.finish(now)
		l.recheck(now)
		if now < next {
			continue
		}
		id++
		l.submit(id, now, maxWait)
		next = now + overloadInterval
		if now%(2*time.Second) >= time.Second {
			next = now + lightLoadInterval
		}
	}
	return l
}

// TestLateStatementsAreServedUnderLightLoad checks that statements that became late during
// an overload are served after it rather than refused, without delaying on-time ones.
func TestLateStatementsAreServedUnderLightLoad(t *testing.T) {
	noWait := runAlternatingLoad(t, 0)
	longWait := runAlternatingLoad(t, time.Second)
	require.Greater(t, noWait.refused, 200)
	require.Less(t, longWait.refused, noWait.refused/4)
	require.GreaterOrEqual(t, longWait.withinTarget, noWait.withinTarget*98/100)
}
