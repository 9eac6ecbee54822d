// Package peerpoll chooses which hosts to ask for changes while a host reaches neither
// the store nor a relay, and from which of them to fetch.
//
// In each round a host asks several others what they know, with small messages. It asks
// all others before it asks any one again, so a small fleet is searched within a fixed
// number of rounds, however few of its hosts reach the store. A configuration may come
// from any host, since its version tells which is newer: those that have it in one round
// can pass it on in the next, and a large fleet needs few rounds more than a small one.
// Other keys come only from hosts that reach the store.
package peerpoll

import (
	"cmp"
	"slices"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/membership"
)

// FanOut is the number of hosts that are asked in one round. It searches a fleet of nine
// hosts in two rounds.
const FanOut = 4

// Sweep draws the hosts of each round. Each host passes through the others in an order of
// its own, so that not all ask the same one at once. It is not safe for concurrent use.
type Sweep struct {
	// self is the name of the host that asks.
	self string
	// last is the score of the host that was asked last.
	last uint64
}

// NewSweep returns the sweep of the host with a name.
func NewSweep(self string) *Sweep { return &Sweep{self: self} }

// Next returns the hosts to ask in the next round: up to FanOut of the fleet, each other
// host once before any is asked again.
func (s *Sweep) Next(fleet []gates.Host) []gates.Host {
	type candidate struct {
		gates.Host
		score uint64
	}
	// distance is how far a host is behind the last one in this host's order, which is
	// cyclic.
	distance := func(c candidate) uint64 { return c.score - s.last - 1 }
	nearest := make([]candidate, 0, FanOut+1)
	for _, h := range fleet {
		if h.Name == s.self {
			continue
		}
		c := candidate{h, membership.Score(s.self, h.Name)}
		at, _ := slices.BinarySearchFunc(nearest, c, func(a, b candidate) int { return cmp.Compare(distance(a), distance(b)) })
		if at == FanOut {
			continue
		}
		nearest = slices.Insert(nearest, at, c)
		nearest = nearest[:min(len(nearest), FanOut)]
	}
	next := make([]gates.Host, len(nearest))
	for i, c := range nearest {
		next[i] = c.Host
	}
	if len(nearest) > 0 {
		s.last = nearest[len(nearest)-1].score
	}
	return next
}
