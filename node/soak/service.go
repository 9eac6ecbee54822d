package soak

import (
	"fmt"
	"time"

	"github.com/dotterelswitch/dotterelswitch/standin/linecaller"
)

const (
	// recoveryTimeout bounds the wait until every host serves. It has a wide margin
	// for loaded machines.
	recoveryTimeout     = 60 * time.Second
	servicePollInterval = 100 * time.Millisecond
	// serviceCheckPrefix starts the request ids of this check.
	serviceCheckPrefix = "service-"
	serviceCheckText   = "FETCH item0"
)

// awaitService waits until every host has applied the newest configuration and
// serves reads from each database of each group.
func (s *soakRun) awaitService(when string) error {
	deadline := time.Now().Add(recoveryTimeout)
	for _, h := range s.hosts {
		for n := 0; ; n++ {
			problem := s.serviceProblem(h, n)
			if problem == "" {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s, %s %s", when, h.name, problem)
			}
			time.Sleep(servicePollInterval)
		}
	}
	return nil
}

// serviceProblem describes why a host does not serve yet; it is empty if it does.
func (s *soakRun) serviceProblem(h *hostProcess, attempt int) string {
	newest := s.routes.newestVersion()
	if !hasRoute(h, newest) {
		return "does not run on the newest configuration"
	}
	if newest > 1 && !lacksRoute(h, newest-1) {
		return "still has a route that was removed"
	}
	if newest > 1 && admitsRemovedKey(h, newest) {
		return "admits a key that was taken away"
	}
	for n := range s.groups {
		for _, database := range []string{strictDatabase, readYourWritesDatabase, boundedDatabase} {
			name := fmt.Sprintf("%s%s-%d-%d-%s", serviceCheckPrefix, h.name, attempt, n, database)
			session, err := linecaller.Open(h.callerAddress, databaseOf(n, database), name, answerTimeout)
			if err != nil {
				return "does not open sessions: " + err.Error()
			}
			a, err := session.Run(serviceCheckText)
			session.Close()
			if err != nil || a.Code != "" {
				return fmt.Sprintf("does not serve reads on %s: %s %s", databaseOf(n, database), a.Code, a.Detail)
			}
		}
	}
	return ""
}
