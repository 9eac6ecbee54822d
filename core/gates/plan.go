// Package gates decides which hosts pool the connections to a member. A gate of a
// member is a host that pools connections to it and runs other hosts' statements on
// them. It is used on the users' platform.
//
// A member accepts far fewer connections than a fleet would use. Divided evenly among
// all hosts, some hosts would have less than one connection while those of others are
// idle, and opening connections on demand is expensive for the member. So a few hosts,
// the gates, share the connections, and the other hosts send their statements to a
// gate. If there are enough connections, every host is a gate.
package gates

import (
	"github.com/dotterelswitch/dotterelswitch/core/connpool"
	"github.com/dotterelswitch/dotterelswitch/core/membership"
)

const (
	// minConnectionsPerGate is the minimum number of connections per gate, sized for
	// the transactions that arrive at one gate at the same time under load.
	minConnectionsPerGate = 7
	// maxConnectionsPerSlot bounds the connections that the gates use at once for each
	// slot of a member, so that the member's own queue stays bounded. Further
	// statements wait at the gates, where they are ordered by urgency. Eleven fill the
	// member and leave room for transactions that are idle between statements; with
	// nine, a member of 3 slots and 31 connections has three gates instead of four.
	maxConnectionsPerSlot = 11
	// reservedPerSlot is the number of connections per slot that gates do not pool for
	// teams, so that restarted hosts can connect while the member still has half-open
	// connections of their previous incarnation. One that runs, one that waits and one
	// that is being opened keep a slot busy.
	reservedPerSlot = 3
	// maxDirectConnections is how many connections a host that is not a gate may open
	// while it reaches no gate.
	maxDirectConnections = 2
	// maxWaiting bounds the statements that wait for one member on one host: about a
	// second of work of one slot.
	maxWaiting = 64
)

// Host is a live host.
type Host struct {
	Name string
	Zone string
	// Address is where other hosts reach it.
	Address string
	// MilliCores is the processor time that it may use, in thousandths of a core, and
	// LinkMbps the rate of its network link in Mbit/s; zero if unknown.
	MilliCores, LinkMbps int
}

// Member is an upstream whose connections are shared.
type Member struct {
	ID   string
	Zone string
	// Slots is how many statements it runs at once; zero if unknown.
	Slots int
}

// Share is one host's share of a member's connections.
type Share struct {
	Limits connpool.Limits
	// GateAddresses are the addresses of the gates in order of preference; empty on a
	// gate.
	GateAddresses []string
	// GateHosts are the gates of the member, including this host if it is one.
	GateHosts []Host
}

// Plan divides the connections of the members of one service.
type Plan struct {
	fleet Fleet
	// connections is how many connections each member accepts.
	connections int
}

// NewPlan returns a plan for members that accept the given number of connections.
func NewPlan(fleet Fleet, connections int) Plan {
	return Plan{fleet: fleet, connections: max(connections, 1)}
}

// activeConnections returns how many connections the gates of a member use at once.
func (p Plan) activeConnections(m Member) int {
	if m.Slots <= 0 {
		return p.connections
	}
	return min(p.connections, maxConnectionsPerSlot*m.Slots)
}

// pooledConnections returns how many connections the gates of a member pool for
// different teams: all but those reserved for restarted hosts.
func (p Plan) pooledConnections(m Member) int {
	return max(p.activeConnections(m), p.connections-reservedPerSlot*m.Slots)
}

// EvenShare returns a host's share if the connections are divided evenly among all
// hosts.
func (p Plan) EvenShare() Share {
	each := max(p.connections/max(p.fleet.Size(), 1), 1)
	return gateShare(each, each)
}

// gateShare returns the share of a host with connections of its own, of which up to
// maxActive run statements at once.
func gateShare(connections, maxActive int) Share {
	return Share{Limits: connpool.Limits{MaxOpen: connections, MaxActive: maxActive, FairShare: connections, MaxWaiting: maxWaiting}}
}

// For returns the named host's share of a member's connections.
func (p Plan) For(m Member, host string) Share {
	return p.share(m, host, p.fleet.nearestHosts(m, p.gateCount(m)))
}

// gateCount returns how many gates a member has.
func (p Plan) gateCount(m Member) int {
	return min(max(p.activeConnections(m)/minConnectionsPerGate, 1), p.fleet.Size())
}

// share returns the named host's share of the connections of a member with the given
// gates.
func (p Plan) share(m Member, host string, top *membership.TopHosts) Share {
	activeConnections := p.activeConnections(m)
	count := top.Size()
	if count == 0 {
		// No host is known, not even this one, so it may use all connections.
		return Share{Limits: connpool.Limits{MaxOpen: activeConnections, FairShare: 1, MaxWaiting: maxWaiting}}
	}
	each := max(activeConnections/count, 1)
	gateHosts := p.fleet.hostsByName(top.Names())
	if top.Contains(host) {
		share := gateShare(max(p.pooledConnections(m)/count, each), each)
		share.GateHosts = gateHosts
		return share
	}
	// FairShare is zero, so that idle direct connections are closed soon.
	return Share{
		Limits:        connpool.Limits{MaxOpen: min(maxDirectConnections, each), MaxWaiting: maxWaiting},
		GateAddresses: rankedAddresses(gateHosts, m.ID, host), GateHosts: gateHosts,
	}
}

// GateRoute returns the addresses to which one host sends a team's statements for a
// member, in order of preference. It ends before the host itself if that is a gate, and
// is empty if the host ranks first.
//
// A connection serves one team, and there may be more teams than connections. Sending
// all statements of a team to the same gate lets the gates together pool connections
// for more teams than if each served every team. Losing a gate moves only its own
// teams.
func (s Share) GateRoute(team, member, host string) []string {
	out := make([]string, 0, len(s.GateHosts))
	// The zero byte keeps different pairs of names from forming the same key.
	for _, h := range membership.RankBy(member+"\x00"+team, s.GateHosts, hostName) {
		if h.Name == host {
			break
		}
		out = append(out, h.Address)
	}
	return out
}

// rankedAddresses orders a member's gates for one host, so that the hosts that are not
// gates spread over them.
func rankedAddresses(gateHosts []Host, member, host string) []string {
	out := make([]string, 0, len(gateHosts))
	for _, h := range membership.RankBy(member+"\x00"+host, gateHosts, hostName) {
		out = append(out, h.Address)
	}
	return out
}
