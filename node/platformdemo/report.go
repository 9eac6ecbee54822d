package platformdemo

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"
)

// Report is what the callers of a run saw.
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
	// Reconnects counts sessions that ended and were opened again.
	Reconnects int `json:"reconnects"`
	// LongestGapMillis is the longest time in which no write succeeded.
	LongestGapMillis int64 `json:"longest_gap_ms"`
	lastWrite        time.Time
	// Twice, KeptThoughRefused and LostOwnWrite count broken promises.
	Twice             int `json:"twice"`
	KeptThoughRefused int `json:"kept_though_refused"`
	LostOwnWrite      int `json:"lost_own_write"`
	// WrongTeam counts statements that ran in another team's name.
	WrongTeam int `json:"wrong_team"`
	// Teams is what each team saw.
	Teams map[string]*TeamReport `json:"teams"`
}

// Broken reports whether a promise was broken.
func (r *Report) Broken() bool { return r.Twice+r.KeptThoughRefused+r.LostOwnWrite+r.WrongTeam > 0 }

// WriteText prints the report for people.
func (r *Report) WriteText(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%d hosts, %d callers, fault %s\n", r.Hosts, r.Callers, r.Fault)
	_, _ = fmt.Fprintf(w, "served %d, refused as not run %d, in doubt %d, failed %d, reconnects %d\n", r.Served, r.Refused, r.InDoubt, r.Failed, r.Reconnects)
	_, _ = fmt.Fprintf(w, "longest time without a successful write: %d ms\n", r.LongestGapMillis)
	_, _ = fmt.Fprintf(w, "broken promises: kept twice %d, kept though refused %d, own write not seen %d, run in another team's name %d\n", r.Twice, r.KeptThoughRefused, r.LostOwnWrite, r.WrongTeam)
	for _, name := range slices.Sorted(maps.Keys(r.Teams)) {
		t := r.Teams[name]
		_, _ = fmt.Fprintf(w, "team %-9s served %d, refused as not run %d, refused for the key %d; at most %d statements in %s\n",
			name, t.Served, t.Refused, t.Unauthorized, t.Busiest, tolerance.Window)
	}
}

func (r *Report) add(count *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*count++
}

// wrote notes a successful write.
func (r *Report) wrote(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lastWrite.IsZero() {
		r.LongestGapMillis = max(r.LongestGapMillis, now.Sub(r.lastWrite).Milliseconds())
	}
	r.lastWrite = now
}
