package succession

import (
	"errors"
	"slices"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/core/store"
)

// SyncGroup is the record of the members of a group with synchronous replicas. An
// acknowledged commit is in the log of the primary and of SyncReplicas other members of the
// record. The entry of a member ends some seconds after it has crashed, but its log may be
// the only one that has a commit, so a member stays in the record until the others are
// known to have all that it may have received.
type SyncGroup struct {
	// Members are the sorted IDs of the members, the primary included; empty without a
	// record.
	Members []string
	// Revision is that of the record's last change; zero if the store has none.
	Revision store.Revision
}

// With returns the sorted IDs of the recorded members and of those that are registered.
func (g SyncGroup) With(registered []string) []string {
	all := slices.Concat(g.Members, registered)
	slices.Sort(all)
	return slices.Compact(all)
}

// Lacks reports whether a registered member is not recorded.
func (g SyncGroup) Lacks(registered []string) bool {
	return slices.ContainsFunc(registered, func(id string) bool { return !slices.Contains(g.Members, id) })
}

// HasGone reports whether a recorded member is not registered.
func (g SyncGroup) HasGone(registered []string) bool {
	return slices.ContainsFunc(g.Members, func(id string) bool { return !slices.Contains(registered, id) })
}

// Replicas returns how many members besides the primary may have let it acknowledge
// commits. The primary is the dead one, or an unknown one of the record. Members without
// their log do not count.
func (g SyncGroup) Replicas(registered []string, deadPrimary string, logLost func(id string) bool) int {
	all := g.With(registered)
	others := slices.DeleteFunc(slices.Clone(all), func(id string) bool { return id == deadPrimary || logLost(id) })
	primaryUnknown := len(others) == len(all)
	if primaryUnknown && len(g.Members) > 0 {
		return len(others) - 1
	}
	return len(others)
}

// GoneMayBeForgotten reports whether members that are gone need not be asked before a
// promotion: the primary, asked after they were gone, has no entry that less than
// syncReplicas of the replicas have. The replicas were asked after the primary.
func GoneMayBeForgotten(primary statement.Status, replicas []CandidateStatus, newestTerm logpos.Term, syncReplicas int) bool {
	if !primary.Primary || primary.Term < newestTerm {
		return false
	}
	complete := 0
	for _, r := range replicas {
		if r.Status.Term == primary.Term && r.Status.Received.Compare(primary.Received) >= 0 {
			complete++
		}
	}
	return complete >= syncReplicas
}

var (
	// ErrNoReplica reports that no replica answered.
	ErrNoReplica = errors.New("no replica answered")
	// ErrTooFewReplicas reports that none of the replicas that answered is certain to have
	// every acknowledged commit.
	ErrTooFewReplicas = errors.New("too few replicas answered to choose a new primary")
	// ErrCommitMissing reports that none of them has a commit that a host has acknowledged.
	ErrCommitMissing = errors.New("no replica that answered has the newest acknowledged commit")
)

// ChooseSynced is ChooseCandidate for a group with synchronous replicas. A replica with the
// newest acknowledged commit is chosen although too few answered, if that commit is known.
func ChooseSynced(candidates []CandidateStatus, replicas, syncReplicas int, acks AckSurvey) (CandidateStatus, error) {
	if len(candidates) == 0 {
		return CandidateStatus{}, ErrNoReplica
	}
	chosen := slices.MaxFunc(candidates, compareCandidates)
	switch {
	case syncReplicas == 0:
		return chosen, nil
	case logEnd(chosen).Less(acks.Newest):
		return CandidateStatus{}, ErrCommitMissing
	case !enoughAnswered(len(candidates), replicas, syncReplicas) && !acks.Complete:
		return CandidateStatus{}, ErrTooFewReplicas
	}
	return chosen, nil
}
