package soak

import (
	"fmt"
	"time"

	"github.com/dotterelswitch/dotterelswitch/standin/linecaller"
)

const (
	// recovery bounds the wait until every host serves again. It is several
	// times what hosts need, so that a busy machine changes no verdict.
	recovery = 60 * time.Second
	// servicePoll spaces the attempts.
	servicePoll = 100 * time.Millisecond
	// serviceCaller begins the ids of this check's own requests.
	serviceCaller = "service-"
)

// awaitService waits until every host has the newest configuration and serves
// a write and a read in each group.
func (s *run) awaitService(when string) error {
	until := time.Now().Add(recovery)
	for _, h := range s.fleet {
		for n := 0; ; n++ {
			problem := s.serves(h, n)
			if problem == "" {
				break
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s, %s %s", when, h.name, problem)
			}
			time.Sleep(servicePoll)
		}
	}
	return nil
}

// serves returns what a host does not do yet, or the empty string.
func (s *run) serves(h *process, attempt int) string {
	newest := s.routes.newest()
	if !hasRoute(h, newest) {
		return "does not run on the newest configuration"
	}
	if newest > 1 && !lacksRoute(h, newest-1) {
		return "still has a route that was removed"
	}
	if newest > 1 && admitsLeft(h, newest) {
		return "admits a key that was taken away"
	}
	for n := range s.groups {
		for _, database := range []string{strict, own, bounded} {
			name := fmt.Sprintf("%s%s-%d-%d-%s", serviceCaller, h.name, attempt, n, database)
			session, err := linecaller.Open(h.caller, databaseOf(n, database), name, answerTimeout)
			if err != nil {
				return "does not open sessions: " + err.Error()
			}
			a, err := session.Run("FETCH item0")
			session.Close()
			if err != nil || a.Code != "" {
				return fmt.Sprintf("does not serve reads on %s: %s %s", databaseOf(n, database), a.Code, a.Detail)
			}
		}
	}
	return ""
}
