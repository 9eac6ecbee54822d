package quota

import (
	"cmp"
	"maps"
	"slices"

	"github.com/dotterelswitch/dotterelswitch/core/membership"
)

// Host is a registered host as the placement sees it.
type Host struct {
	Name, Region string
}

const (
	// mostCounters is how many hosts share a team's limit at most. Load pattern: a
	// quarter of the fleet is cut off, or a counter restarts; the other two serve a
	// team that runs at two thirds of its limit.
	mostCounters = 3
	// leastCounters is how many share it in a fleet of one region.
	leastCounters = 2
	// leastCounted is the least part of a window's limit that makes it worth a
	// counter: a part of one or two operations would be used up by chance.
	leastCounted = 6
)

// Placement is who grants a team's operations, and how many one host may run before
// they are granted.
type Placement struct {
	// Counters are the hosts that share the team's limit, in the order in which this
	// host asks them: itself, that of its region, the others.
	Counters []string
	// MaxUnconfirmed is how many operations this host may run before they are granted.
	MaxUnconfirmed int
}

// scored is a host with its score for a team.
type scored struct {
	Host
	score uint64
}

// Place returns the placement of a team as one host of a fleet sees it. All hosts
// that know the same fleet choose the same counters.
func Place(team string, l Limit, t Tolerance, hosts []Host, self Host) Placement {
	r := look(team, hosts, self)
	chosen := r.choose(max(int(t.counted(l)/leastCounted), 1))
	slices.SortStableFunc(chosen, func(a, b scored) int {
		return cmp.Compare(distance(a.Host, self), distance(b.Host, self))
	})
	p := Placement{}
	if r.listed {
		p.MaxUnconfirmed = share(t.unconfirmed(l), len(hosts), r.before)
	}
	for _, h := range chosen {
		p.Counters = append(p.Counters, h.Name)
	}
	return p
}

// ranking is what one look over all hosts shows of a team. Load pattern: 5,000 hosts,
// of which one restarts every 19 s, and a thousand teams that call through a host: each
// of them is placed anew. A look hashes each host once (BenchmarkPlace).
type ranking struct {
	// first are the hosts with the highest scores of their regions, and top those with
	// the highest of all, the best first.
	first map[string]scored
	top   []scored
	// before counts the hosts that rank before the one that looks, if it is listed.
	before int
	listed bool
}

func look(team string, hosts []Host, self Host) ranking {
	r := ranking{first: map[string]scored{}}
	mine := membership.Score(team, self.Name)
	for _, host := range hosts {
		h := scored{Host: host, score: membership.Score(team, host.Name)}
		if h.score > mine {
			r.before++
		}
		r.listed = r.listed || host.Name == self.Name
		if best, found := r.first[h.Region]; !found || h.score > best.score {
			r.first[h.Region] = h
		}
		r.keepTop(h)
	}
	return r
}

func (r *ranking) keepTop(h scored) {
	if len(r.top) == leastCounters && h.score <= r.top[leastCounters-1].score {
		return
	}
	r.top = append(r.top, h)
	slices.SortFunc(r.top, byScore)
	r.top = r.top[:min(len(r.top), leastCounters)]
}

func byScore(a, b scored) int { return cmp.Compare(b.score, a.score) }

// choose takes the first host of each region, and the next ones of all where there are
// too few regions; no more than a number.
func (r *ranking) choose(most int) []scored {
	chosen := slices.SortedFunc(maps.Values(r.first), byScore)
	chosen = chosen[:min(len(chosen), mostCounters)]
	for _, h := range r.top {
		if len(chosen) < leastCounters && !slices.Contains(chosen, h) {
			chosen = append(chosen, h)
		}
	}
	return chosen[:min(len(chosen), most)]
}

// distance orders the counters for a host.
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

// share returns the part of a whole number of operations that the host of a rank has.
func share(total, hosts, rank int) int {
	each := total / hosts
	if rank < total%hosts {
		each++
	}
	return each
}
