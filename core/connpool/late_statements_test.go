package connpool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
)

// wave is a load that is above what a pool runs, and below it, by turns.
type wave struct {
	pool    *connpool.Pool
	ends    map[connpool.ConnID]time.Duration
	running map[connpool.ConnID]uint64
	arrived map[uint64]time.Duration
	// queued holds those that wait, with when they are judged next.
	queued map[uint64]queuedWaiter
	// onTime, late and refused count how statements ended.
	onTime, late, refused int
}

type queuedWaiter struct {
	connpool.Waiter
	judgeAt time.Duration
}

const (
	waveWork   = 15 * ms
	waveTarget = 300 * ms
	waveSlots  = 2
	waveLength = 12 * time.Second
	// In the first second of two a statement comes every 5 ms, in the other one
	// every 13 ms; the pool runs one in 7.5 ms.
	waveBusy, waveQuiet = 5 * ms, 13 * ms
)

func (w *wave) start(id connpool.ConnID, statement uint64, now time.Duration) {
	delete(w.queued, statement)
	w.ends[id], w.running[id] = now+waveWork, statement
}

func (w *wave) finish(now time.Duration) {
	for id := connpool.ConnID(1); id <= waveSlots; id++ {
		if at, busy := w.ends[id]; !busy || at > now {
			continue
		}
		if now-w.arrived[w.running[id]] <= waveTarget {
			w.onTime++
		} else {
			w.late++
		}
		delete(w.ends, id)
		if next, found := w.pool.Released(connpool.Conn{ID: id}, waveWork, now); found {
			w.start(id, next.ID, now)
		}
	}
}

func (w *wave) judge(now time.Duration) {
	for id, q := range w.queued {
		if q.judgeAt > now {
			continue
		}
		until, keep := w.pool.KeepUntil(q.Waiter, now)
		if !keep {
			w.pool.Leave(id)
			delete(w.queued, id)
			w.refused++
			continue
		}
		q.judgeAt = until
		w.queued[id] = q
	}
}

func (w *wave) offer(id uint64, now, patience time.Duration) {
	fresh := now + time.Duration(connpool.FreshShare*float64(waveTarget))
	q := connpool.Waiter{ID: id, Priority: 1, AimBy: now + waveTarget, FreshBy: fresh, StartBy: max(fresh, now+patience)}
	w.arrived[id] = now
	switch d := w.pool.Acquire(q, now); d.Verdict {
	case connpool.Granted:
		w.start(d.Conn, id, now)
	case connpool.Queued:
		w.queued[id] = queuedWaiter{q, fresh}
	default:
		w.refused++
	}
}

// playWave offers the load; patience is how long a statement may wait.
func playWave(t *testing.T, patience time.Duration) *wave {
	t.Helper()
	w := &wave{
		pool: connpool.New(connpool.Limits{Max: waveSlots, Fair: waveSlots, MaxWaiting: 1000}),
		ends: map[connpool.ConnID]time.Duration{}, running: map[connpool.ConnID]uint64{},
		arrived: map[uint64]time.Duration{}, queued: map[uint64]queuedWaiter{},
	}
	open(t, w.pool, waveSlots)
	for id := range waveSlots {
		w.pool.Released(connpool.Conn{ID: connpool.ConnID(id + 1)}, waveWork, 0)
	}
	next, id := time.Duration(0), uint64(5000)
	for now := time.Duration(0); now < waveLength; now += ms {
		w.finish(now)
		w.judge(now)
		if now < next {
			continue
		}
		id++
		w.offer(id, now, patience)
		next = now + waveBusy
		if now%(2*time.Second) >= time.Second {
			next = now + waveQuiet
		}
	}
	return w
}

// TestLateStatementsAreServedInTheLullsAtNobodysCost replays short surges. A
// statement that missed its turn and is turned away uses up one of its caller's
// few tries; kept behind those that are on time, it is served in the next lull.
func TestLateStatementsAreServedInTheLullsAtNobodysCost(t *testing.T) {
	short := playWave(t, 0)
	long := playWave(t, time.Second)
	require.Greater(t, short.refused, 200)
	require.Less(t, long.refused, short.refused/4)
	require.GreaterOrEqual(t, long.onTime, short.onTime*98/100)
}
