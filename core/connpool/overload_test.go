package connpool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
)

// simulateOverload offers a pool two and a half times the load that it can run. Statements
// are on time while they have waited for less than waitFraction of their target. It
// returns how many were answered within their target, and how many in total.
func simulateOverload(t *testing.T, waitFraction float64) (withinTarget, served int) {
	t.Helper()
	const (
		serviceTime = 15 * ms
		target      = 300 * ms
		interval    = 3 * ms
		duration    = 5 * time.Second
		slots       = 2
	)
	p := connpool.New(connpool.Limits{MaxOpen: slots, FairShare: slots, MaxWaiting: 1000})
	openInUse(t, p, slots)
	arrived := map[uint64]time.Duration{}
	ends := map[connpool.ConnID]time.Duration{}
	running := map[connpool.ConnID]uint64{}
	start := func(id connpool.ConnID, w uint64, now time.Duration) {
		ends[id], running[id] = now+serviceTime, w
	}
	for id := range slots {
		if _, found := p.Released(connpool.Conn{ID: connpool.ConnID(id + 1)}, serviceTime, 0); found {
			t.Fatal("unexpected waiter")
		}
	}
	next := uint64(0)
	for now := time.Duration(0); now < duration; now += ms {
		for id := connpool.ConnID(1); id <= slots; id++ {
			if at, busy := ends[id]; busy && at <= now {
				served++
				if now-arrived[running[id]] <= target {
					withinTarget++
				}
				delete(ends, id)
				if w, found := p.Released(connpool.Conn{ID: id}, serviceTime, now); found {
					start(id, w.ID, now)
				}
			}
		}
		if now%interval == 0 {
			next++
			arrived[next] = now
			w := waiter(next, 1, now+target, now+time.Duration(waitFraction*float64(target)))
			if d := p.Acquire(w, now); d.Outcome == connpool.Granted {
				start(d.Conn, next, now)
			}
		}
	}
	return withinTarget, served
}

// TestBoundedWaitKeepsThroughput checks that, under overload, bounding the wait to half
// of the target serves as many statements as waiting for all of it, and nearly all of
// them within their target.
func TestBoundedWaitKeepsThroughput(t *testing.T) {
	withinTarget, served := simulateOverload(t, connpool.OnTimeWaitFraction)
	fullWaitWithinTarget, fullWaitServed := simulateOverload(t, 1)
	require.InDelta(t, fullWaitServed, served, float64(fullWaitServed)/50)
	require.Greater(t, withinTarget, served*95/100)
	require.Greater(t, withinTarget, fullWaitWithinTarget*12/10)
}
