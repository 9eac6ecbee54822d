// Package mechanism lists the optimizations that can be disabled on a host, to measure
// the effect of each. Mechanisms that correctness depends on cannot be disabled.
package mechanism

import (
	"fmt"
	"slices"
	"strings"
)

// Name identifies a mechanism in settings.
type Name string

// The mechanisms. A gate is a host that holds pooled connections to a member and runs
// other hosts' statements on them. A floor is the log position that a replica must
// have applied to serve a read.
const (
	// Gates lets a few hosts hold the connections to a member for all hosts.
	Gates Name = "gates"
	// Relays lets one host per availability zone watch the store for the others.
	Relays Name = "relays"
	// PeerFloors asks other hosts for a floor if none is known.
	PeerFloors Name = "peer-floors"
	// RefusalFloors includes the current floor in each answer to another host.
	RefusalFloors Name = "refusal-floors"
	// GateFloors sends a read without a known floor to a gate of a replica, which
	// looks one up.
	GateFloors Name = "gate-floors"
	// ReplicaWait lets a read-your-writes read wait for a replica to catch up.
	ReplicaWait Name = "replica-wait"
	// StartupWait lets callers wait until a starting host has its configuration.
	StartupWait Name = "startup-wait"
	// FleetWait lets a starting host wait until it knows the other hosts.
	FleetWait Name = "fleet-wait"
	// HedgedListing hedges the initial listing if the store does not answer.
	HedgedListing Name = "hedged-listing"
	// GateWatch cancels statements that were sent to an unresponsive gate.
	GateWatch Name = "gate-watch"
	// Reclaim rolls back idle transactions while statements wait for a connection.
	Reclaim Name = "reclaim"
	// ShortFirst queues short statements ahead of expensive ones.
	ShortFirst Name = "short-first"
	// Detours routes statements through hosts that still reach a member when this
	// host does not.
	Detours Name = "detours"
	// StandingLeader lets the holder of the promotion lock start a promotion with the
	// fencing token it already holds.
	StandingLeader Name = "standing-leader"
	// DirectVotes collects votes on the loss of a primary by datagram, without waiting
	// for the store.
	DirectVotes Name = "direct-votes"
	// ObservedSilence derives the silence timeout of a member from its recent pauses.
	ObservedSilence Name = "observed-silence"
	// TeamGates sends all statements of a team for a member to the same gate.
	TeamGates Name = "team-gates"
	// TeamReplicas prefers the same replica of a group for all reads of a team.
	TeamReplicas Name = "team-replicas"
	// Announcement broadcasts each promotion to all hosts.
	Announcement Name = "announcement"
)

// All returns all names in declaration order.
func All() []Name {
	return []Name{
		Gates, Relays, PeerFloors, RefusalFloors, GateFloors, ReplicaWait, StartupWait, FleetWait, HedgedListing, GateWatch, Reclaim,
		ShortFirst, Detours, StandingLeader, DirectVotes, ObservedSilence, TeamGates, TeamReplicas, Announcement,
	}
}

// Disabled is the set of disabled mechanisms. The zero value disables none.
type Disabled map[Name]bool

// Enabled reports whether a mechanism is enabled.
func (d Disabled) Enabled(n Name) bool { return !d[n] }

// Names returns the disabled mechanisms in sorted order.
func (d Disabled) Names() []string {
	var out []string
	for n, disabled := range d {
		if disabled {
			out = append(out, string(n))
		}
	}
	slices.Sort(out)
	return out
}

// UnknownError reports a name that no mechanism has.
type UnknownError struct{ Name string }

func (e *UnknownError) Error() string {
	var known []string
	for _, n := range All() {
		known = append(known, string(n))
	}
	return fmt.Sprintf("unknown mechanism %q; known mechanisms: %s", e.Name, strings.Join(known, ", "))
}

// Parse parses the names of mechanisms to disable. Its error is an *UnknownError.
func Parse(names []string) (Disabled, error) {
	d := Disabled{}
	for _, name := range names {
		if !slices.Contains(All(), Name(name)) {
			return nil, &UnknownError{Name: name}
		}
		d[Name(name)] = true
	}
	return d, nil
}
