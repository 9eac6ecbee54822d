package promoter

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/succession"
)

// answer is what a replica said to an order, unless it failed.
type answer struct {
	report succession.Report
	failed bool
}

// surveyPatience is how long the other replicas are waited for once one has
// answered, where any one of them may be promoted: a full queue of a member
// (28 statements of 14 ms on three slots) and two round trips between regions.
// Callers wait meanwhile; a replica that has no connection to give, or is cut
// off, would cost them the whole time of an order, twice.
const surveyPatience = 250 * time.Millisecond

// gather collects the answers of the replicas that were asked. Hurried tells
// that one answer is enough to go on with. The channel must have room for all
// answers, because those that come later are not read.
func gather(answers <-chan answer, asked int, hurried bool) []succession.Report {
	var reports []succession.Report
	var enough <-chan time.Time
	for left := asked; left > 0; left-- {
		select {
		case a := <-answers:
			if a.failed {
				continue
			}
			reports = append(reports, a.report)
			if hurried && enough == nil {
				enough = time.After(surveyPatience)
			}
		case <-enough:
			return reports
		}
	}
	return reports
}
