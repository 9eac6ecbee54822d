package workload

import (
	"slices"
	"sync"
	"time"
)

// Fate is what a caller was told of a write.
type Fate uint8

// The fates of a write.
const (
	// FateUnknown means that the write may or may not have run.
	FateUnknown Fate = iota
	// FateAcked means that it was acknowledged.
	FateAcked
	// FateNotRun means that it was refused as not run.
	FateNotRun
)

// write is one value that a caller tried to store.
type write struct {
	value string
	acked time.Time
	fate  Fate
}

// subjectKey names a subject of a service.
type subjectKey struct{ service, subject string }

// Checker compares answers with what was acknowledged. It is safe for
// concurrent use.
type Checker struct {
	mu       sync.Mutex
	writes   map[subjectKey][]*write
	byValue  map[string]*write
	counts   Violations
	observed Counts
}

// Violations counts broken promises.
type Violations struct {
	WritesLost          int64 `json:"writes_lost"`
	WritesDoubled       int64 `json:"writes_doubled"`
	NotRunButRan        int64 `json:"not_run_but_ran"`
	RYWViolations       int64 `json:"ryw_violations"`
	StalenessViolations int64 `json:"staleness_violations"`
	WrongAnswers        int64 `json:"wrong_answers"`
}

// Any reports whether any promise was broken.
func (v Violations) Any() bool { return v != Violations{} }

// Counts counts requests by outcome.
type Counts struct {
	WritesAcked   int64 `json:"writes_acked"`
	WritesUnknown int64 `json:"writes_unknown"`
	RefusedNotRun int64 `json:"refused_not_run"`
	Reads         int64 `json:"reads"`
	CutRequests   int64 `json:"cut_requests"`
}

// NewChecker returns a checker that has seen nothing.
func NewChecker() *Checker {
	return &Checker{writes: make(map[subjectKey][]*write), byValue: make(map[string]*write)}
}

// Try notes a value before it is sent.
func (c *Checker) Try(service, subject, value string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := &write{value: value}
	key := subjectKey{service, subject}
	c.writes[key] = append(c.writes[key], w)
	c.byValue[value] = w
}

// Settle notes what the caller was told about a value.
func (c *Checker) Settle(value string, fate Fate, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.byValue[value]
	w.fate, w.acked = fate, at
	switch fate {
	case FateAcked:
		c.observed.WritesAcked++
	case FateNotRun:
		c.observed.RefusedNotRun++
	default:
		c.observed.WritesUnknown++
	}
}

// Cut notes a request whose connection ended without an answer.
func (c *Checker) Cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observed.CutRequests++
}

// RefusedRead notes a read that was refused.
func (c *Checker) RefusedRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observed.RefusedNotRun++
}

// Read is one answered read.
type Read struct {
	Service, Subject string
	Values           []string
	// Own are the values that the session itself had acknowledged before.
	Own       []string
	Started   time.Time
	Staleness time.Duration
}

// CheckRead judges an answer.
func (c *Checker) CheckRead(r Read) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observed.Reads++
	got := make(map[string]int, len(r.Values))
	for _, v := range r.Values {
		got[v]++
	}
	c.checkValues(r, got)
	if slices.ContainsFunc(r.Own, func(v string) bool { return got[v] == 0 }) {
		c.counts.RYWViolations++
	}
	limit := r.Started.Add(-r.Staleness)
	for _, w := range c.writes[subjectKey{r.Service, r.Subject}] {
		if w.fate == FateAcked && w.acked.Before(limit) && got[w.value] == 0 {
			c.counts.StalenessViolations++
			break
		}
	}
}

// checkValues looks for values of another request or subject, and repeats.
func (c *Checker) checkValues(r Read, got map[string]int) {
	known := make(map[string]bool)
	for _, w := range c.writes[subjectKey{r.Service, r.Subject}] {
		known[w.value] = true
	}
	for v, n := range got {
		if !known[v] || n > 1 {
			c.counts.WrongAnswers++
			return
		}
	}
}

// CheckContents judges the rows that the upstreams hold at the end.
func (c *Checker) CheckContents(rows []Row) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := make(map[string]int, len(rows))
	for _, r := range rows {
		held[r.Value]++
		if _, known := c.byValue[r.Value]; !known {
			c.counts.WrongAnswers++
		}
	}
	for _, w := range c.byValue {
		n := held[w.value]
		switch {
		case n > 1:
			c.counts.WritesDoubled++
		case n == 0 && w.fate == FateAcked:
			c.counts.WritesLost++
		case n > 0 && w.fate == FateNotRun:
			c.counts.NotRunButRan++
		}
	}
}

// Row is one stored value.
type Row struct{ Subject, Value string }

// Results returns what was counted.
func (c *Checker) Results() (Violations, Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts, c.observed
}
