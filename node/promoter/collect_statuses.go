package promoter

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/succession"
)

// controlResult is a replica's answer to a control operation, or the failure to
// get one.
type controlResult struct {
	status succession.CandidateStatus
	failed bool
}

// surveyGracePeriod is how long to wait for the other replicas once one has
// answered, when any replica may be promoted. It covers a full queue at a member
// and round trips between regions. Waiting for the full timeout of an unreachable
// replica would prolong the outage.
const surveyGracePeriod = 250 * time.Millisecond

// collectStatuses collects the answers to the given number of control operations. If
// oneSuffices is set, it stops waiting surveyGracePeriod after the first answer. The
// channel must have capacity for all answers, because late ones are not read.
func collectStatuses(results <-chan controlResult, sent int, oneSuffices bool) []succession.CandidateStatus {
	var statuses []succession.CandidateStatus
	var graceOver <-chan time.Time
	for pending := sent; pending > 0; pending-- {
		select {
		case result := <-results:
			if result.failed {
				continue
			}
			statuses = append(statuses, result.status)
			if oneSuffices && graceOver == nil {
				graceOver = time.After(surveyGracePeriod)
			}
		case <-graceOver:
			return statuses
		}
	}
	return statuses
}
