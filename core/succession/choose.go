package succession

import (
	"cmp"
	"slices"

	"github.com/dotterelswitch/dotterelswitch/core/statement"
)

// Report is the status that a replica returned during a promotion.
type Report struct {
	ID      string
	Leaving bool
	Status  statement.Status
}

// ChooseCandidate returns the member to promote: the one with the most advanced
// log, since entries that it has not received are lost. Among equal logs, a
// member that stays is preferred to one that is leaving. Replicas is the number
// of replicas, and syncReplicas how many of them hold every acknowledged
// commit: unless the reports must include one of those, it returns false.
func ChooseCandidate(reports []Report, replicas, syncReplicas int) (Report, bool) {
	if len(reports) == 0 {
		return Report{}, false
	}
	if syncReplicas > 0 && len(reports)+syncReplicas <= replicas {
		return Report{}, false
	}
	return slices.MaxFunc(reports, compareReports), true
}

func compareReports(a, b Report) int {
	if c := a.Status.Received.Compare(b.Status.Received); c != 0 {
		return c
	}
	if a.Leaving != b.Leaving {
		if a.Leaving {
			return -1
		}
		return 1
	}
	return cmp.Compare(b.ID, a.ID)
}
