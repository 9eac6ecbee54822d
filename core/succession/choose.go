package succession

import (
	"cmp"
	"slices"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
)

// CandidateStatus is the status that a replica returned during a promotion.
type CandidateStatus struct {
	ID      string
	Leaving bool
	// Ejected is set if the replica fails what it runs or is slow.
	Ejected bool
	Status  statement.Status
}

// ChooseCandidate returns the member to promote: the one with the most advanced
// log, since entries that it has not received are lost. Among equal logs, a
// member that stays is preferred to one that is leaving. It returns false if too
// few of the replicas answered to be sure that one of the candidates has every
// acknowledged commit, which syncReplicas of the replicas have.
func ChooseCandidate(candidates []CandidateStatus, replicas, syncReplicas int) (CandidateStatus, bool) {
	if len(candidates) == 0 {
		return CandidateStatus{}, false
	}
	if !enoughAnswered(len(candidates), replicas, syncReplicas) {
		return CandidateStatus{}, false
	}
	return slices.MaxFunc(candidates, compareCandidates), true
}

// enoughAnswered reports whether one of the replicas that answered is certain to have every
// acknowledged commit.
func enoughAnswered(answered, replicas, syncReplicas int) bool {
	return syncReplicas == 0 || answered+syncReplicas > replicas
}

func compareCandidates(a, b CandidateStatus) int {
	if c := logEnd(a).Compare(logEnd(b)); c != 0 {
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

// logEnd returns the last entry of a candidate's log. An empty log has none, whatever the
// term that its position names.
func logEnd(c CandidateStatus) logpos.Position {
	if c.Status.Received.Offset == 0 {
		return logpos.Position{}
	}
	return c.Status.Received
}
