package connpool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
)

// mixedOverload offers one connection a third more work than it can run: five short
// statements for each long one. It returns how many of each were served within
// their latency target. extraExecutionTime is the ExtraExecutionTime of the long statements.
func mixedOverload(extraExecutionTime time.Duration) (short, long int) {
	const shortTime, longTime = 9 * time.Millisecond, 15 * time.Millisecond
	const interval = 7500 * time.Microsecond
	p := connpool.New(connpool.Limits{MaxOpen: 1, FairShare: 1, MaxWaiting: 64})
	queued := map[uint64]connpool.Waiter{}
	var next uint64
	var freeAt time.Duration
	var running, current = false, connpool.Waiter{}
	start := func(w connpool.Waiter, now time.Duration) {
		running, current = true, w
		freeAt = now + shortTime
		if w.Kind == "long" {
			freeAt = now + longTime
		}
	}
	open := false
	finish := func() {
		if freeAt <= current.TargetDeadline {
			if current.Kind == "long" {
				long++
			} else {
				short++
			}
		}
		running = false
		if w, found := p.Released(connpool.Conn{ID: 1}, freeAt, freeAt); found {
			delete(queued, w.ID)
			start(w, freeAt)
		}
	}
	for now := time.Duration(0); now < 20*time.Second; now += interval {
		for running && freeAt <= now {
			finish()
		}
		for id, w := range queued {
			if now > w.StartDeadline && p.CancelWait(id) {
				delete(queued, id)
			}
		}
		next++
		w := connpool.Waiter{ID: next, Priority: 2, Kind: "short", TargetDeadline: now + time.Second, OnTimeUntil: now + 500*time.Millisecond, StartDeadline: now + 800*time.Millisecond}
		if next%6 == 0 {
			w.Kind, w.ExtraExecutionTime, w.TargetDeadline, w.OnTimeUntil, w.StartDeadline = "long", extraExecutionTime, now+800*time.Millisecond, now+400*time.Millisecond, now+1200*time.Millisecond
		}
		switch d := p.Acquire(w, now); d.Outcome {
		case connpool.Granted:
			start(w, now)
		case connpool.Queued:
			queued[w.ID] = w
			if !open && beginOpen(p, now) {
				open = true
				if first, found := p.Opened(connpool.Conn{ID: 1}, now); found {
					delete(queued, first.ID)
					start(first, now)
				}
			}
		}
	}
	return short, long
}

// TestShortStatementsFirstServesMoreWithinTarget checks that ordering by ExtraExecutionTime
// serves more statements within their latency target under overload, without starving
// the long ones.
func TestShortStatementsFirstServesMoreWithinTarget(t *testing.T) {
	shortUnweighted, longUnweighted := mixedOverload(0)
	short, long := mixedOverload(6 * time.Millisecond)
	require.Greater(t, short+long, shortUnweighted+longUnweighted)
	require.Positive(t, long, "long statements are starved")
	t.Logf("served within target: %d short and %d long without ExtraExecutionTime, %d and %d with it", shortUnweighted, longUnweighted, short, long)
}
