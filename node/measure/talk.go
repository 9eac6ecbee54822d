package measure

import (
	"cmp"
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// Talk is what the hosts sent for control for one purpose.
type Talk struct {
	Purpose string
	Count   int
	// PerHostSecond is the mean rate of one host over the time of the logs; zero
	// where they span no time.
	PerHostSecond float64
}

// CountTalk sums what the hosts counted, by purpose, the most frequent first.
func CountTalk(lines []Line) []Talk {
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
		for purpose, n := range l.Talk {
			counts[purpose] += n
		}
	}
	hostSeconds := float64(len(hosts)) * last.Sub(first).Seconds()
	var out []Talk
	for purpose, n := range counts {
		t := Talk{Purpose: purpose, Count: n}
		if hostSeconds > 0 {
			t.PerHostSecond = float64(n) / hostSeconds
		}
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b Talk) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Purpose, b.Purpose))
	})
	return out
}
