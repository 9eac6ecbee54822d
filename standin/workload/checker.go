package workload

import (
	"slices"
	"sync"
	"time"
)

// WriteOutcome is the outcome of a write as reported to its caller.
type WriteOutcome uint8

const (
	// OutcomeUnknown means that the write may or may not have run.
	OutcomeUnknown WriteOutcome = iota
	// OutcomeAcked means that the write was acknowledged.
	OutcomeAcked
	// OutcomeNotRun means that the write was refused and not run.
	OutcomeNotRun
)

// write is one attempted write.
type write struct {
	value     string
	settledAt time.Time
	outcome   WriteOutcome
}

type subjectKey struct{ service, subject string }

// Checker compares query results and stored rows with the recorded outcomes of
// writes. It is safe for concurrent use.
type Checker struct {
	mu         sync.Mutex
	writes     map[subjectKey][]*write
	byValue    map[string]*write
	violations Violations
	counts     Counts
}

// Violations counts violations of the consistency guarantees.
type Violations struct {
	WritesLost          int64 `json:"writes_lost"`
	WritesDoubled       int64 `json:"writes_doubled"`
	NotRunButRan        int64 `json:"not_run_but_ran"`
	RYWViolations       int64 `json:"ryw_violations"`
	StalenessViolations int64 `json:"staleness_violations"`
	WrongAnswers        int64 `json:"wrong_answers"`
}

// Any reports whether any guarantee was violated.
func (v Violations) Any() bool { return v != Violations{} }

// Counts counts requests by outcome.
type Counts struct {
	WritesAcked        int64 `json:"writes_acked"`
	WritesUnknown      int64 `json:"writes_unknown"`
	RefusedNotRun      int64 `json:"refused_not_run"`
	Reads              int64 `json:"reads"`
	UnansweredRequests int64 `json:"cut_requests"`
}

func NewChecker() *Checker {
	return &Checker{writes: make(map[subjectKey][]*write), byValue: make(map[string]*write)}
}

// RecordAttempt records a value before it is sent.
func (c *Checker) RecordAttempt(service, subject, value string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := &write{value: value}
	key := subjectKey{service, subject}
	c.writes[key] = append(c.writes[key], w)
	c.byValue[value] = w
}

// RecordOutcome records the outcome of the write of a value.
func (c *Checker) RecordOutcome(value string, outcome WriteOutcome, settledAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.byValue[value]
	w.outcome, w.settledAt = outcome, settledAt
	switch outcome {
	case OutcomeAcked:
		c.counts.WritesAcked++
	case OutcomeNotRun:
		c.counts.RefusedNotRun++
	default:
		c.counts.WritesUnknown++
	}
}

// RecordUnanswered counts a request whose connection ended without an answer.
func (c *Checker) RecordUnanswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.UnansweredRequests++
}

// RecordRefusedRead counts a refused read.
func (c *Checker) RecordRefusedRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.RefusedNotRun++
}

// Read is one answered read.
type Read struct {
	Service, Subject string
	Values           []string
	// OwnWrites are the acknowledged writes of the same session.
	OwnWrites []string
	Started   time.Time
	// Staleness is the maximum staleness that the read allows.
	Staleness time.Duration
}

// CheckRead checks an answer for unknown values, missing own writes and excessive
// staleness.
func (c *Checker) CheckRead(r Read) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Reads++
	got := make(map[string]int, len(r.Values))
	for _, v := range r.Values {
		got[v]++
	}
	c.checkValues(r, got)
	if slices.ContainsFunc(r.OwnWrites, func(v string) bool { return got[v] == 0 }) {
		c.violations.RYWViolations++
	}
	requiredBefore := r.Started.Add(-r.Staleness)
	for _, w := range c.writes[subjectKey{r.Service, r.Subject}] {
		if w.outcome == OutcomeAcked && w.settledAt.Before(requiredBefore) && got[w.value] == 0 {
			c.violations.StalenessViolations++
			break
		}
	}
}

// checkValues detects values never written to the subject, and duplicates.
func (c *Checker) checkValues(r Read, got map[string]int) {
	known := make(map[string]bool)
	for _, w := range c.writes[subjectKey{r.Service, r.Subject}] {
		known[w.value] = true
	}
	for v, n := range got {
		if !known[v] || n > 1 {
			c.violations.WrongAnswers++
			return
		}
	}
}

// CheckContents compares the final rows of the upstreams with the recorded writes.
func (c *Checker) CheckContents(rows []Row) {
	c.mu.Lock()
	defer c.mu.Unlock()
	stored := make(map[string]int, len(rows))
	for _, r := range rows {
		stored[r.Value]++
		if _, known := c.byValue[r.Value]; !known {
			c.violations.WrongAnswers++
		}
	}
	for _, w := range c.byValue {
		n := stored[w.value]
		switch {
		case n > 1:
			c.violations.WritesDoubled++
		case n == 0 && w.outcome == OutcomeAcked:
			c.violations.WritesLost++
		case n > 0 && w.outcome == OutcomeNotRun:
			c.violations.NotRunButRan++
		}
	}
}

type Row struct{ Subject, Value string }

func (c *Checker) Results() (Violations, Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.violations, c.counts
}
