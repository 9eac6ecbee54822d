package platformdemo

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"
)

// Report is what the callers of a run observed.
type Report struct {
	Hosts   int    `json:"hosts"`
	Callers int    `json:"callers"`
	Fault   string `json:"fault"`

	// mu guards the fields below.
	mu      sync.Mutex
	Served  int `json:"served"`
	Refused int `json:"refused"`
	InDoubt int `json:"in_doubt"`
	Failed  int `json:"failed"`
	// Reconnects counts failed attempts to open a session.
	Reconnects int `json:"reconnects"`
	// LongestGapMillis is the longest time without a successful write.
	LongestGapMillis int64 `json:"longest_gap_ms"`
	lastWrite        time.Time
	// CommittedTwice, CommittedThoughRefused and OwnWriteNotSeen count violations of
	// guarantees.
	CommittedTwice         int `json:"twice"`
	CommittedThoughRefused int `json:"kept_though_refused"`
	OwnWriteNotSeen        int `json:"lost_own_write"`
	// WrongTeam counts statements that ran as another team.
	WrongTeam int `json:"wrong_team"`
	// Teams holds the results by team.
	Teams map[string]*TeamReport `json:"teams"`
}

// HasViolations reports whether any guarantee was violated.
func (r *Report) HasViolations() bool {
	return r.CommittedTwice+r.CommittedThoughRefused+r.OwnWriteNotSeen+r.WrongTeam > 0
}

// WriteText prints the report in human-readable form.
func (r *Report) WriteText(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%d hosts, %d callers, fault %s\n", r.Hosts, r.Callers, r.Fault)
	_, _ = fmt.Fprintf(w, "served %d, refused as not run %d, in doubt %d, failed %d, reconnects %d\n", r.Served, r.Refused, r.InDoubt, r.Failed, r.Reconnects)
	_, _ = fmt.Fprintf(w, "longest time without a successful write: %d ms\n", r.LongestGapMillis)
	_, _ = fmt.Fprintf(w, "broken promises: kept twice %d, kept though refused %d, own write not seen %d, run in another team's name %d\n", r.CommittedTwice, r.CommittedThoughRefused, r.OwnWriteNotSeen, r.WrongTeam)
	for _, name := range slices.Sorted(maps.Keys(r.Teams)) {
		t := r.Teams[name]
		_, _ = fmt.Fprintf(w, "team %-9s served %d, refused as not run %d, refused for the key %d; at most %d statements in %s\n",
			name, t.Served, t.Refused, t.Unauthorized, t.BusiestWindow, tolerance.Window)
	}
}

func (r *Report) increment(count *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*count++
}

// recordWrite records the time of a successful write.
func (r *Report) recordWrite(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lastWrite.IsZero() {
		r.LongestGapMillis = max(r.LongestGapMillis, now.Sub(r.lastWrite).Milliseconds())
	}
	r.lastWrite = now
}
