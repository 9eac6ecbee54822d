package promoter

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/succession"
)

// controlResult is a replica's answer to a control operation, or the failure to
// get one.
type controlResult struct {
	report succession.CandidateStatus
	failed bool
}

// surveyGracePeriod is how long to wait for the other replicas once one has
// answered, when any replica may be promoted. It covers a full queue at a member
// and round trips between regions. Waiting for the full timeout of an unreachable
// replica would prolong the outage.
const surveyGracePeriod = 250 * time.Millisecond

// collectReports collects the answers to a control operation. If oneSuffices is set, it
// stops waiting surveyGracePeriod after the first answer. The channel must have
// capacity for all answers, because late ones are not read.
func collectReports(results <-chan controlResult, asked int, oneSuffices bool) []succession.CandidateStatus {
	var reports []succession.CandidateStatus
	var graceOver <-chan time.Time
	for pending := asked; pending > 0; pending-- {
		select {
		case result := <-results:
			if result.failed {
				continue
			}
			reports = append(reports, result.report)
			if oneSuffices && graceOver == nil {
				graceOver = time.After(surveyGracePeriod)
			}
		case <-graceOver:
			return reports
		}
	}
	return reports
}
