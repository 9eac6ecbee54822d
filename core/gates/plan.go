// Package gates decides which hosts keep the connections to a member.
//
// Load pattern: a member takes 16 to 176 connections, and 7 to 74 hosts want
// some. Split evenly, a host's share is less than one transaction needs, while
// another's idles; opened on demand, they are turned away or cost a member 12
// to 27 ms of a slot each. So a few hosts, the member's gates, share its
// connections, and the other hosts send their statements to one of them. Where
// there is enough for every host, every host is a gate.
package gates

import (
	"github.com/dotterelswitch/dotterelswitch/core/connpool"
	"github.com/dotterelswitch/dotterelswitch/core/membership"
)

const (
	// perGate is the least share of connections that makes a host a gate: the
	// transactions that arrive together at one of several gates on a busy day.
	perGate = 7
	// perSlot is the most connections that the gates open for each slot of a
	// member. Load pattern: a member that takes 176 connections has 6 slots and a
	// queue of a few dozen statements. While its group's replicas are behind, all
	// that its gates could send at once exceeds that queue, and it turns more
	// statements away than it runs. Eleven let it work, fill its queue, and leave
	// room for transactions that rest between their statements; with nine, a member
	// of 3 slots and 31 connections has three gates in place of four, and its
	// callers lose a third of their ways to it with each that is lost. What is more
	// waits at the gates, where it has an order.
	// The connections left over also serve a fleet that has lost power, as
	// members keep the dead ones for seconds.
	perSlot = 11
	// returnPerSlot is how many connections for each slot of a member its gates do not
	// keep for teams. Load pattern: all hosts lose power, and the member holds their dead
	// connections for seconds. Those left over are all that the hosts that come back
	// can open: one that runs, one that waits and one that is being opened keep a slot
	// at work.
	returnPerSlot = 3
	// strayConnections is how many connections a host that is no gate may open
	// while it reaches none.
	strayConnections = 2
	// maxWaiting bounds the statements that wait for one member, a host. It is
	// a second of work of one slot; what waits longer is late anyway.
	maxWaiting = 64
)

// Host is one living host.
type Host struct {
	Name string
	Zone string
	// Address is where other hosts reach it.
	Address string
}

// Member is one upstream that connections are divided of.
type Member struct {
	ID   string
	Zone string
	// Slots is how many statements it runs at once; zero where that is not known.
	Slots int
}

// Share is what one host has to do with one member.
type Share struct {
	Limits connpool.Limits
	// Gates are where to send statements, the best first; none for a gate.
	Gates []string
	// All are the gates of the member, this host included if it is one.
	All []Host
}

// Plan divides the connections of the members of one service.
type Plan struct {
	fleet  Fleet
	usable int
}

// NewPlan returns a plan for members that take the given number of connections.
func NewPlan(fleet Fleet, connections int) Plan {
	return Plan{fleet: fleet, usable: max(connections, 1)}
}

// useful returns how many connections the gates of a member share.
func (p Plan) useful(m Member) int {
	if m.Slots <= 0 {
		return p.usable
	}
	return min(p.usable, perSlot*m.Slots)
}

// kept returns how many connections the gates of a member keep where they belong
// to different teams: all but those that are left over for a fleet that comes back
// from a loss of power.
func (p Plan) kept(m Member) int { return max(p.useful(m), p.usable-returnPerSlot*m.Slots) }

// Even returns the share of a host where every host keeps connections of its own.
func (p Plan) Even() Share {
	each := max(p.usable/max(p.fleet.Size(), 1), 1)
	return keeping(each, each)
}

// keeping returns the share of a host that keeps connections of its own, of which
// some run something at once.
func keeping(connections, busy int) Share {
	return Share{Limits: connpool.Limits{MaxOpen: connections, MaxActive: busy, FairShare: connections, MaxWaiting: maxWaiting}}
}

// For returns the share of the named host in a member.
func (p Plan) For(m Member, host string) Share {
	return p.share(m, host, p.fleet.nearest(m, p.gateCount(m)))
}

// gateCount returns how many gates a member has.
func (p Plan) gateCount(m Member) int {
	return min(max(p.useful(m)/perGate, 1), p.fleet.Size())
}

// share returns the share of the named host in a member whose gates are known.
func (p Plan) share(m Member, host string, top *membership.Top) Share {
	useful := p.useful(m)
	count := top.Size()
	if count == 0 {
		return Share{Limits: connpool.Limits{MaxOpen: useful, FairShare: 1, MaxWaiting: maxWaiting}}
	}
	each := max(useful/count, 1)
	chosen := p.fleet.called(top.Names())
	if top.Contains(host) {
		share := keeping(max(p.kept(m)/count, each), each)
		share.All = chosen
		return share
	}
	return Share{
		Limits: connpool.Limits{MaxOpen: min(strayConnections, each), MaxWaiting: maxWaiting},
		Gates:  addresses(chosen, m.ID, host), All: chosen,
	}
}

// RouteOf returns where one host sends a team's statements for a member, the best
// first; none for the host itself, which also comes after the gates that it ranks
// behind.
//
// Load pattern: a connection serves one team, and there are more teams than a
// member takes connections. Where each gate serves every team, each keeps a
// connection for the same few of them; where a team's statements meet at one
// gate, the gates together keep connections for several times as many. A gate
// that is lost moves only its own teams.
func (s Share) RouteOf(team, member, host string) []string {
	out := make([]string, 0, len(s.All))
	for _, h := range membership.RankBy(member+"\x00"+team, s.All, hostName) {
		if h.Name == host {
			break
		}
		out = append(out, h.Address)
	}
	return out
}

// addresses orders a member's gates for one host, so that the hosts that are
// no gates spread over them.
func addresses(chosen []Host, member, host string) []string {
	out := make([]string, 0, len(chosen))
	for _, h := range membership.RankBy(member+"\x00"+host, chosen, hostName) {
		out = append(out, h.Address)
	}
	return out
}
