package succession

import (
	"cmp"
	"slices"

	"github.com/dotterelswitch/dotterelswitch/core/statement"
)

// Report is a replica's answer during a promotion.
type Report struct {
	ID      string
	Leaving bool
	Status  statement.Status
}

// Choose picks the member to promote: the one whose log is furthest, because
// only what it has received survives. Of equal logs a member that stays goes
// before one that leaves. Replicas is how many there are, and syncReplicas how
// many hold every acknowledged commit: unless enough of them answered to
// include one of those, nothing is chosen.
func Choose(reports []Report, replicas, syncReplicas int) (Report, bool) {
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
