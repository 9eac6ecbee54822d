package soak

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

// unreadRequestTolerance is how long after it was sent a request that no member
// ran may be interrupted: the host may not have read it before it stopped.
const unreadRequestTolerance = 200 * time.Millisecond

// plannedStop is the planned shutdown of one incarnation of a host.
type plannedStop struct {
	host        *hostProcess
	incarnation int
	at          time.Time
}

// interrupted reports whether the stop ended a request that the host had to
// answer. ran is set if a member ran the request.
func (s plannedStop) interrupted(q *request, ran bool) bool {
	if !q.unanswered || q.host != s.host || q.incarnation != s.incarnation {
		return false
	}
	if q.answeredAt.Before(s.at) || q.sentAt.Sub(s.at) > stopGracePeriod {
		return false
	}
	return ran || q.answeredAt.Sub(q.sentAt) > unreadRequestTolerance
}

// checkStops finds requests that were interrupted by a planned stop.
func (s *soakRun) checkStops(histories []history, runs []lineplatform.Execution) {
	ran := map[string]bool{}
	for _, r := range runs {
		ran[r.ID] = true
	}
	for _, h := range histories {
		for _, q := range h.requests {
			for _, stop := range s.stops {
				if stop.interrupted(q, ran[q.ID]) {
					s.findings.add("%s was cut by the stop of %s, %s after it began", q.ID, stop.host.name, q.sentAt.Sub(stop.at))
				}
			}
		}
	}
}
