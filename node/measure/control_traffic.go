package measure

import (
	"cmp"
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// ControlTraffic counts the control messages that hosts sent for one purpose.
type ControlTraffic struct {
	Purpose string
	Count   int
	// PerHostSecond is the mean rate per host over the time that the logs span; zero
	// if they span no time.
	PerHostSecond float64
}

// SumControlTraffic sums the counts of all hosts by purpose, the most frequent
// first.
func SumControlTraffic(lines []Line) []ControlTraffic {
	hosts := map[string]bool{}
	counts := map[string]int{}
	var first, last time.Time
	for _, l := range lines {
		hosts[l.Host] = true
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
		if l.Event != eventlog.ControlTrafficCounted.Number {
			continue
		}
		for purpose, n := range l.ControlTraffic {
			counts[purpose] += n
		}
	}
	hostSeconds := float64(len(hosts)) * last.Sub(first).Seconds()
	var out []ControlTraffic
	for purpose, n := range counts {
		t := ControlTraffic{Purpose: purpose, Count: n}
		if hostSeconds > 0 {
			t.PerHostSecond = float64(n) / hostSeconds
		}
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b ControlTraffic) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Purpose, b.Purpose))
	})
	return out
}
