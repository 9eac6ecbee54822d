// Package mechanism names the mechanisms that a host can be run without, so that
// anybody can measure what one of them gains. What guards a promise is not in it:
// it stays, whatever it gains.
package mechanism

import (
	"fmt"
	"slices"
	"strings"
)

// Name names a mechanism.
type Name string

// The mechanisms.
const (
	// Gates has a few hosts keep a member's connections for all.
	Gates Name = "gates"
	// Relays has one host of a zone watch the store for the others.
	Relays Name = "relays"
	// PeerFloors asks other hosts for a floor where none is known.
	PeerFloors Name = "peer-floors"
	// RefusalFloors tells a floor with each answer to another host.
	RefusalFloors Name = "refusal-floors"
	// GateFloors sends a read without a floor to a replica's gate, which finds one.
	GateFloors Name = "gate-floors"
	// ReplicaWait has a read of a caller's own commit wait for a replica.
	ReplicaWait Name = "replica-wait"
	// StartupWait has callers wait for the configuration of a host that starts.
	StartupWait Name = "startup-wait"
	// FleetWait has a host that starts wait until it knows the others.
	FleetWait Name = "fleet-wait"
	// HedgedListing asks a silent store again while nothing is known.
	HedgedListing Name = "hedged-listing"
	// GateWatch gives up what was sent to a gate that is silent.
	GateWatch Name = "gate-watch"
	// Reclaim rolls back transactions that rest while others wait.
	Reclaim Name = "reclaim"
	// ShortFirst lets short statements pass dear ones.
	ShortFirst Name = "short-first"
	// Detours sends statements around a cut.
	Detours Name = "detours"
	// StandingLeader leads promotions with the token that is held already.
	StandingLeader Name = "standing-leader"
	// DirectVotes agrees on a loss by datagram, before the store is told.
	DirectVotes Name = "direct-votes"
	// ObservedSilence judges silence by what is usual for a member.
	ObservedSilence Name = "observed-silence"
	// TeamGates has a team's statements for a member meet at one of its gates.
	TeamGates Name = "team-gates"
	// TeamReplicas has a team's reads prefer one replica of a group.
	TeamReplicas Name = "team-replicas"
	// Announcement tells all hosts of a promotion.
	Announcement Name = "announcement"
)

// All returns all names, in the order of the table above.
func All() []Name {
	return []Name{
		Gates, Relays, PeerFloors, RefusalFloors, GateFloors, ReplicaWait, StartupWait, FleetWait, HedgedListing, GateWatch, Reclaim,
		ShortFirst, Detours, StandingLeader, DirectVotes, ObservedSilence, TeamGates, TeamReplicas, Announcement,
	}
}

// Without is what a host is run without. The zero value leaves nothing out.
type Without map[Name]bool

// Has reports whether the host has a mechanism.
func (w Without) Has(n Name) bool { return !w[n] }

// Names returns what is left out, in order.
func (w Without) Names() []string {
	var out []string
	for n, left := range w {
		if left {
			out = append(out, string(n))
		}
	}
	slices.Sort(out)
	return out
}

// UnknownError is a name that no mechanism has.
type UnknownError struct{ Name string }

func (e *UnknownError) Error() string {
	var known []string
	for _, n := range All() {
		known = append(known, string(n))
	}
	return fmt.Sprintf("there is no mechanism %q; there are %s", e.Name, strings.Join(known, ", "))
}

// Parse reads names of mechanisms to leave out. An error is an *UnknownError.
func Parse(names []string) (Without, error) {
	w := Without{}
	for _, name := range names {
		if !slices.Contains(All(), Name(name)) {
			return nil, &UnknownError{Name: name}
		}
		w[Name(name)] = true
	}
	return w, nil
}
