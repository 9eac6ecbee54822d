package quota

import (
	"cmp"
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

// Placement is who pays for a team's operations, and what one host may run ahead
// of the payment.
type Placement struct {
	// Counters are the hosts that share the team's limit, in the order in which this
	// host asks them: itself, that of its region, the others.
	Counters []string
	// Ahead is the host's part of the hosts' reserve.
	Ahead int
}

// scored is a host with its score for a team.
type scored struct {
	Host
	score uint64
}

// Place returns the placement of a team as one host of a fleet sees it. All hosts
// that know the same fleet choose the same counters.
func Place(team string, l Limit, t Tolerance, hosts []Host, self Host) Placement {
	ranked := rank(team, hosts)
	chosen := choose(ranked)
	worth := max(int(t.counted(l)/leastCounted), 1)
	chosen = chosen[:min(worth, len(chosen))]
	slices.SortStableFunc(chosen, func(a, b scored) int {
		return cmp.Compare(distance(a.Host, self), distance(b.Host, self))
	})
	p := Placement{Ahead: share(t.ahead(l), ranked, self.Name)}
	for _, h := range chosen {
		p.Counters = append(p.Counters, h.Name)
	}
	return p
}

// rank orders the hosts by rendezvous hashing.
func rank(team string, hosts []Host) []scored {
	ranked := make([]scored, 0, len(hosts))
	for _, h := range hosts {
		ranked = append(ranked, scored{Host: h, score: membership.Score(team, h.Name)})
	}
	slices.SortFunc(ranked, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	return ranked
}

// choose takes the first of each region, and the next ones where there are too few.
func choose(ranked []scored) []scored {
	var chosen []scored
	for _, h := range ranked {
		taken := slices.ContainsFunc(chosen, func(c scored) bool { return c.Region == h.Region })
		if !taken && len(chosen) < mostCounters {
			chosen = append(chosen, h)
		}
	}
	for _, h := range ranked {
		if len(chosen) < leastCounters && !slices.Contains(chosen, h) {
			chosen = append(chosen, h)
		}
	}
	return chosen
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

// share divides a whole number of operations among the hosts.
func share(total int, ranked []scored, self string) int {
	at := slices.IndexFunc(ranked, func(h scored) bool { return h.Name == self })
	if at < 0 {
		return 0
	}
	each := total / len(ranked)
	if at < total%len(ranked) {
		each++
	}
	return each
}
