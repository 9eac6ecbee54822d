package eventlog

import (
	"sync"
	"time"
)

// RateLimiter limits how many lines of each event are logged per second, so that
// the log volume does not grow with the load. Suppressed lines are counted and
// reported with the next line of the event. It is safe for concurrent use and
// acquires no other lock while it holds its own.
type RateLimiter struct {
	perSecond map[int]int

	mu              sync.Mutex
	windows         map[int]*window
	totalSuppressed int
}

// window counts the lines of one event in the current second.
type window struct {
	start      time.Duration
	written    int
	suppressed int
}

// Limits of lines per event and second. Failures have the highest one, since an
// operator may need the line of any failed statement, while successes are only a
// sample.
const (
	failuresPerSecond  = 200
	successesPerSecond = 10
	// A gate that sends invalid reports sends one with each answer.
	loadReportsPerSecond = 1
	// Anybody may write entries that cannot be decoded, hundreds at once.
	unreadableEntriesPerSecond = 5
	othersPerSecond            = 50
)

func NewRateLimiter() *RateLimiter {
	return &RateLimiter{
		perSecond: map[int]int{
			StatementFailed.Number: failuresPerSecond, GateJobFailed.Number: failuresPerSecond,
			StatementServed.Number: successesPerSecond, LoadReportInvalid.Number: loadReportsPerSecond,
			EntryUnreadable.Number: unreadableEntriesPerSecond,
		},
		windows: map[int]*window{},
	}
}

// Allow reports whether a line of the event may be logged at the given time, and
// how many lines were suppressed since the last one that was.
func (r *RateLimiter) Allow(e Event, now time.Duration) (suppressed int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, found := r.windows[e.Number]
	if !found {
		w = &window{start: now}
		r.windows[e.Number] = w
	}
	if now-w.start >= time.Second || now < w.start {
		w.start, w.written = now, 0
	}
	limit, set := r.perSecond[e.Number]
	if !set {
		limit = othersPerSecond
	}
	if w.written >= limit {
		w.suppressed++
		r.totalSuppressed++
		return 0, false
	}
	w.written++
	suppressed, w.suppressed = w.suppressed, 0
	return suppressed, true
}

// TakeSuppressed returns how many lines of the event were suppressed since the last one
// that was logged, and counts anew.
func (r *RateLimiter) TakeSuppressed(e Event) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, found := r.windows[e.Number]
	if !found {
		return 0
	}
	suppressed := w.suppressed
	w.suppressed = 0
	return suppressed
}

// Suppressed returns the number of lines suppressed since the start.
func (r *RateLimiter) Suppressed() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.totalSuppressed
}
