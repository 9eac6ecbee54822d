package soak

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

// lossSlack is how long after its last byte a request may be cut off that the
// host had not passed on.
const lossSlack = 200 * time.Millisecond

// stop is a planned end of one incarnation of a host.
type stop struct {
	host        *process
	incarnation int
	at          time.Time
}

// cut reports whether a request was cut off by the stop. Ran tells that a member
// ran it.
func (s stop) cut(q *request, ran bool) bool {
	if !q.lost || q.host != s.host || q.incarnation != s.incarnation {
		return false
	}
	if q.answered.Before(s.at) || q.sent.Sub(s.at) > grace {
		return false
	}
	return ran || q.answered.Sub(q.sent) > lossSlack
}

// checkStops finds requests that a planned stop cut off.
func (s *run) checkStops(histories []history, runs []lineplatform.Execution) {
	ran := map[string]bool{}
	for _, r := range runs {
		ran[r.ID] = true
	}
	for _, h := range histories {
		for _, q := range h.requests {
			for _, stop := range s.stops {
				if stop.cut(q, ran[q.ID]) {
					s.found.add("%s was cut by the stop of %s, %s after it began", q.ID, stop.host.name, q.sent.Sub(stop.at))
				}
			}
		}
	}
}
