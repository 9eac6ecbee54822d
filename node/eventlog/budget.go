package eventlog

import (
	"sync"
	"time"
)

// Budget bounds how many lines of each event are written in a second, so that
// the log's volume does not follow the load. What is left out is counted and
// reported with the next line of the event. It is safe for concurrent use; its
// lock is a leaf.
type Budget struct {
	perSecond map[int]int

	mu      sync.Mutex
	windows map[int]*window
	total   int
}

// window is one event's second.
type window struct {
	start   time.Duration
	written int
	leftOut int
}

// The lines of an event that a host writes in a second. Failures go before
// successes: a busy host refuses a few hundred statements a second at worst,
// and each of them may be asked about, while successes only show what is usual.
const (
	failuresPerSecond  = 200
	successesPerSecond = 10
	othersPerSecond    = 50
)

// NewBudget returns the budget of a host.
func NewBudget() *Budget {
	return &Budget{
		perSecond: map[int]int{
			StatementFailed.Number: failuresPerSecond, GateJobFailed.Number: failuresPerSecond,
			StatementServed.Number: successesPerSecond,
		},
		windows: map[int]*window{},
	}
}

// Allow reports whether a line of the event may be written at the given time,
// and how many were left out since the last one.
func (b *Budget) Allow(e Event, now time.Duration) (leftOut int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, found := b.windows[e.Number]
	if !found {
		w = &window{start: now}
		b.windows[e.Number] = w
	}
	if now-w.start >= time.Second || now < w.start {
		w.start, w.written = now, 0
	}
	limit, set := b.perSecond[e.Number]
	if !set {
		limit = othersPerSecond
	}
	if w.written >= limit {
		w.leftOut++
		b.total++
		return 0, false
	}
	w.written++
	leftOut, w.leftOut = w.leftOut, 0
	return leftOut, true
}

// LeftOut returns how many lines were left out in all.
func (b *Budget) LeftOut() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}
