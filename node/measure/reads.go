package measure

import (
	"cmp"
	"slices"

	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// Reads counts where reads were served, for one consistency of routes.
type Reads struct {
	Consistency string
	Replica     int
	// Reads served by the primary, by reason.
	ByRoute, NoFloor, Behind int
	ReplicasSuspect          int `json:"Doubt"`
	PrimaryFaster            int `json:"Sooner"`
}

func (r Reads) Total() int {
	return r.Replica + r.ByRoute + r.NoFloor + r.Behind + r.ReplicasSuspect + r.PrimaryFaster
}

// ReplicaShare returns the fraction of reads that replicas served, or zero if there
// were no reads.
func (r Reads) ReplicaShare() float64 {
	if r.Total() == 0 {
		return 0
	}
	return float64(r.Replica) / float64(r.Total())
}

// SumReads sums the read counts of all hosts, by consistency.
func SumReads(lines []Line) []Reads {
	at := map[string]*Reads{}
	for _, l := range lines {
		if l.Event != eventlog.ReadsCounted.Number {
			continue
		}
		r, found := at[l.Consistency]
		if !found {
			r = &Reads{Consistency: l.Consistency}
			at[l.Consistency] = r
		}
		r.Replica += l.Replica
		r.ByRoute += l.PrimaryByRoute
		r.NoFloor += l.PrimaryNoFloor
		r.Behind += l.PrimaryBehind
		r.ReplicasSuspect += l.PrimaryReplicasSuspect
		r.PrimaryFaster += l.PrimaryFaster
	}
	var out []Reads
	for _, r := range at {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b Reads) int { return cmp.Compare(a.Consistency, b.Consistency) })
	return out
}
