package succession

import (
	"slices"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/membership"
)

// MaxVoters is the maximum number of hosts that vote on the failure of a
// primary. Each voter costs a member a connection and the store a write. Voters
// are selected by hashing, so that they are spread over the fleet and a network
// partition divides them as it divides the fleet.
const MaxVoters = 9

// TakeoverRank returns the position of a host in the order of responsibility for a
// service, without the lock's holder, whom the others succeed. It ranks one host without
// sorting the fleet: promoters ask for it several times a second while a lock is vacant.
func TakeoverRank(service, host, holder string, live []string) int {
	rank, own := 0, membership.Score(service, host)
	for _, other := range live {
		if other != holder && other != host && membership.Score(service, other) > own {
			rank++
		}
	}
	return rank
}

// Voters returns the hosts that vote on the failure of a service's primary.
func Voters(service string, live []string) []string { return topVoters(service, live).Names() }

func topVoters(service string, live []string) *membership.TopHosts {
	top := membership.NewTopHosts(service, MaxVoters)
	top.AddAll(live, 0)
	return top
}

// VoterSet maintains the voters of a service incrementally as the fleet
// changes, so that a change of one host does not cost a sort of the whole fleet
// for every service. It is not safe for concurrent use.
type VoterSet struct {
	service string
	// generation is the generation of the fleet that voters was computed from.
	generation uint64
	voters     *membership.TopHosts
}

// NewVoterSet returns an empty voter set, which is filled on first use.
func NewVoterSet(service string) *VoterSet { return &VoterSet{service: service} }

// IsVoter reports whether a host of fleet f votes on the primary.
func (v *VoterSet) IsVoter(host string, f gates.Fleet) bool {
	v.update(f)
	return v.voters.Contains(host)
}

// update applies the changes up to fleet f.
func (v *VoterSet) update(f gates.Fleet) {
	change, known := f.ChangeSince(v.generation)
	v.generation = f.Generation()
	if known {
		for _, h := range change.Left {
			v.voters.Remove(h.Name)
		}
		for _, h := range change.Joined {
			v.voters.Add(h.Name, 0)
		}
	}
	if !known || v.voters.Stale() {
		v.voters = topVoters(v.service, f.Names())
	}
}

// MajoritySuspects reports whether more than half of the voters suspect the
// primary, which is required to replace it. A partition between the primary and
// a minority of hosts must not roll back writes that the other hosts
// acknowledged.
func MajoritySuspects(suspecting, voters []string) bool {
	if len(voters) == 0 {
		return false
	}
	count := 0
	for _, host := range suspecting {
		if slices.Contains(voters, host) {
			count++
		}
	}
	return 2*count > len(voters)
}
