package quota

import "github.com/dotterelswitch/dotterelswitch/core/membership"

// Placement is who pays for a team's operations, and what one host may run ahead
// of the payment.
type Placement struct {
	// Counter and Deputy are the hosts ranked first and second; empty where there
	// are none.
	Counter, Deputy string
	// Ahead is the host's part of the hosts' reserve.
	Ahead int
}

// Place returns the placement of a team as one host of a fleet sees it.
func Place(team string, l Limit, t Tolerance, hosts []string, self string) Placement {
	var p Placement
	var best, second uint64
	mine := membership.Score(team, self)
	rank := 0
	for _, h := range hosts {
		score := membership.Score(team, h)
		if score > mine {
			rank++
		}
		switch {
		case p.Counter == "" || score > best:
			p.Deputy, second = p.Counter, best
			p.Counter, best = h, score
		case p.Deputy == "" || score > second:
			p.Deputy, second = h, score
		}
	}
	total := t.ahead(l)
	count := max(len(hosts), 1)
	p.Ahead = total / count
	if rank < total%count {
		p.Ahead++
	}
	return p
}
