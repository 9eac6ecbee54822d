package quota

import (
	"cmp"
	"maps"
	"slices"

	"github.com/dotterelswitch/dotterelswitch/core/membership"
)

// Host is a registered host.
type Host struct {
	Name, Zone, Region string
	// Address is where the host receives requests for grants.
	Address string
}

const (
	// maxCounters is the maximum number of hosts that share a team's limit. If one of
	// three counters is unreachable, the other two still cover a team that uses two
	// thirds of its limit.
	maxCounters = 3
	// minCounters is the number of counters in a fleet of one region with several
	// hosts.
	minCounters = 2
	// minOperationsPerCounter is the minimum share of a window's limit for one counter.
	// Smaller shares would be exhausted by uneven load.
	minOperationsPerCounter = 6
)

// Placement says which hosts grant a team's operations and how many operations one host
// may run before they are granted.
type Placement struct {
	// Counters are the hosts that share the team's limit, in the order in which this
	// host requests grants: itself, the counter of its region, the others.
	Counters []string
	// MaxUnconfirmed is how many operations this host may run before they are granted.
	MaxUnconfirmed int
}

// scoredHost is a host with its rendezvous score for a team.
type scoredHost struct {
	Host
	score uint64
}

// Place returns the placement of a team as seen by one host. All hosts that know the
// same fleet choose the same counters.
func Place(team string, l Limit, t Tolerance, hosts []Host, self Host) Placement {
	r := rankHosts(team, hosts, self)
	chosen := r.choose(max(int(t.grantable(l)/minOperationsPerCounter), 1))
	slices.SortStableFunc(chosen, func(a, b scoredHost) int {
		return cmp.Compare(distance(a.Host, self), distance(b.Host, self))
	})
	p := Placement{}
	if r.registered {
		p.MaxUnconfirmed = shareOfRank(t.maxUnconfirmed(l), len(hosts), r.rank)
	}
	for _, h := range chosen {
		p.Counters = append(p.Counters, h.Name)
	}
	return p
}

// ranking is the result of one pass over all hosts for a team. A pass scores each host
// once; sorting the fleet for every team would be too slow in fleets of thousands of
// hosts (BenchmarkPlace).
type ranking struct {
	// bestByRegion is the host with the highest score of each region, and top the hosts
	// with the highest scores overall, in descending order.
	bestByRegion map[string]scoredHost
	top          []scoredHost
	// rank is the number of hosts that score higher than self, and registered whether
	// self is among the hosts.
	rank       int
	registered bool
}

func rankHosts(team string, hosts []Host, self Host) ranking {
	r := ranking{bestByRegion: map[string]scoredHost{}}
	selfScore := membership.Score(team, self.Name)
	for _, host := range hosts {
		h := scoredHost{Host: host, score: membership.Score(team, host.Name)}
		if h.score > selfScore {
			r.rank++
		}
		r.registered = r.registered || host.Name == self.Name
		if best, found := r.bestByRegion[h.Region]; !found || h.score > best.score {
			r.bestByRegion[h.Region] = h
		}
		r.updateTop(h)
	}
	return r
}

func (r *ranking) updateTop(h scoredHost) {
	if len(r.top) == minCounters && h.score <= r.top[minCounters-1].score {
		return
	}
	r.top = append(r.top, h)
	slices.SortFunc(r.top, byScore)
	r.top = r.top[:min(len(r.top), minCounters)]
}

func byScore(a, b scoredHost) int { return cmp.Compare(b.score, a.score) }

// choose returns the best host of each region, filled up with the best hosts overall if
// there are too few regions, and at most limit hosts.
func (r *ranking) choose(limit int) []scoredHost {
	chosen := slices.SortedFunc(maps.Values(r.bestByRegion), byScore)
	chosen = chosen[:min(len(chosen), maxCounters)]
	for _, h := range r.top {
		if len(chosen) < minCounters && !slices.Contains(chosen, h) {
			chosen = append(chosen, h)
		}
	}
	return chosen[:min(len(chosen), limit)]
}

// distance orders counters by proximity: same host, same region, other region.
func distance(a, b Host) int {
	switch {
	case a.Name == b.Name:
		return 0
	case a.Region == b.Region:
		return 1
	default:
		return 2
	}
}

// shareOfRank returns the share of total that the host of the given rank has when it is
// divided evenly into whole operations.
func shareOfRank(total, hosts, rank int) int {
	share := total / hosts
	if rank < total%hosts {
		share++
	}
	return share
}
