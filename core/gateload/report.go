// Package gateload describes the load of gates, the hosts that hold connections to a
// member for other hosts.
package gateload

import (
	"slices"
	"time"
)

const (
	// MaxClasses bounds the priority classes of a report.
	MaxClasses = 8
	// MaxWait is the longest wait that a report may say. It exceeds the deadlines of
	// callers.
	MaxWait = time.Minute
	// maxCount is beyond what a gate can have: it keeps less than a hundred waiting
	// statements.
	maxCount = 100_000
)

// Report is a gate's load for one member.
type Report struct {
	// Running and Waiting count the statements that hold a connection and that wait for
	// one; Capacity is how many may run at once.
	Running, Capacity, Waiting int
	// ExpectedWait is the expected wait by priority class, 0 being the highest. The last
	// entry is for all lower classes too.
	ExpectedWait []time.Duration
}

// Valid reports whether the figures of a report that another host has sent make sense.
func (r Report) Valid() bool {
	inRange := func(n int) bool { return n >= 0 && n <= maxCount }
	if !inRange(r.Running) || !inRange(r.Waiting) || !inRange(r.Capacity) || r.Capacity == 0 || len(r.ExpectedWait) > MaxClasses {
		return false
	}
	return !slices.ContainsFunc(r.ExpectedWait, func(d time.Duration) bool { return d < 0 || d > MaxWait })
}

// WaitOf returns the expected wait of a priority class.
func (r Report) WaitOf(priority int) time.Duration {
	if len(r.ExpectedWait) == 0 {
		return 0
	}
	return r.ExpectedWait[min(max(priority, 0), len(r.ExpectedWait)-1)]
}
