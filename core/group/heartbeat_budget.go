package group

import "time"

// Pace spaces heartbeats so that a host's probes stay within a budget of
// bytes, however many members it watches. With few members failures are found
// sooner; with many, statements that fail bring the probes forward (Suspect),
// and an idle group waits for its next heartbeat.
type Pace struct {
	// ProbeBytes is what one probe and its answer cost, in bytes.
	ProbeBytes int
	// BudgetBytes is what all probes together may cost, in bytes per second.
	BudgetBytes int
	// Shortest and Longest bound the interval.
	Shortest, Longest time.Duration
}

// DefaultPace returns the pace for a control budget of 6 KB/s, of which three
// fifths go to heartbeats. ProbeBytes was measured; see docs/CAPACITY.md.
func DefaultPace() Pace {
	return Pace{
		ProbeBytes: 400, BudgetBytes: 3600,
		Shortest: 100 * time.Millisecond, Longest: 5 * time.Second,
	}
}

// Heartbeat returns the interval between probes of one member when a host
// watches the given number of members.
func (p Pace) Heartbeat(members int) time.Duration {
	interval := time.Duration(members*p.ProbeBytes) * time.Second / time.Duration(p.BudgetBytes)
	return min(max(interval, p.Shortest), p.Longest)
}
