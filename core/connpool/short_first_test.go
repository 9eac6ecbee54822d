package connpool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
)

// dearLoad offers one connection a third more than it can run for a while: five
// short statements of 9 ms for each long one of 15 ms, whose target is shorter. It
// returns how many of each were served on time. Extra is what is known of the long
// ones.
func dearLoad(extra time.Duration) (short, long int) {
	const shortWork, longWork = 9 * time.Millisecond, 15 * time.Millisecond
	const gap = 7500 * time.Microsecond
	p := connpool.New(connpool.Limits{Max: 1, Fair: 1, MaxWaiting: 64})
	queued := map[uint64]connpool.Waiter{}
	var next uint64
	var freeAt time.Duration
	var running, busy = false, connpool.Waiter{}
	start := func(w connpool.Waiter, now time.Duration) {
		running, busy = true, w
		freeAt = now + shortWork
		if w.Kind == "long" {
			freeAt = now + longWork
		}
	}
	open := false
	finish := func() {
		if freeAt <= busy.AimBy {
			if busy.Kind == "long" {
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
	for now := time.Duration(0); now < 20*time.Second; now += gap {
		for running && freeAt <= now {
			finish()
		}
		for id, w := range queued {
			if now > w.StartBy && p.Leave(id) {
				delete(queued, id)
			}
		}
		next++
		w := connpool.Waiter{ID: next, Priority: 2, Kind: "short", AimBy: now + time.Second, FreshBy: now + 500*time.Millisecond, StartBy: now + 800*time.Millisecond}
		if next%6 == 0 {
			w.Kind, w.Extra, w.AimBy, w.FreshBy, w.StartBy = "long", extra, now+800*time.Millisecond, now+400*time.Millisecond, now+1200*time.Millisecond
		}
		switch d := p.Acquire(w, now); d.Verdict {
		case connpool.Granted:
			start(w, now)
		case connpool.Queued:
			queued[w.ID] = w
			if !open && opens(p, now) {
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

// TestSlotServesMoreCallersWithShortStatements replays a primary that is offered a
// third more than it can run.
func TestSlotServesMoreCallersWithShortStatements(t *testing.T) {
	shortBefore, longBefore := dearLoad(0)
	short, long := dearLoad(6 * time.Millisecond)
	require.Greater(t, short+long, shortBefore+longBefore)
	require.Positive(t, long, "long ones are not shut out")
	t.Logf("served on time: %d short and %d long before, %d and %d with their work known", shortBefore, longBefore, short, long)
}
