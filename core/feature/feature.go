// Package feature lists the optimizations that can be disabled on a host, to measure
// the effect of each. Nothing that correctness depends on can be disabled.
package feature

import (
	"fmt"
	"slices"
	"strings"
)

// Name identifies a feature in settings.
type Name string

// The features. A gate is a host that holds pooled connections to a member and runs
// other hosts' statements on them. A floor is the log position that a replica must
// have applied to serve a read.
const (
	// Gates lets a few hosts pool the connections to a member for all hosts.
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
	// Snapshots lets a starting host of a large fleet take the content of the store from
	// another host.
	Snapshots Name = "snapshots"
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
	// OutlierEjection keeps reads away from members that fail or are slow.
	OutlierEjection Name = "outlier-ejection"
	// FailedReadRetry runs a read that a member failed on another member.
	FailedReadRetry Name = "failed-read-retry"
	// FailingPrimary replaces a primary that fails the statements that it runs.
	FailingPrimary Name = "failing-primary"
	// FairSlots shares a member's slots fairly among teams.
	FairSlots Name = "fair-slots"
	// ReturnSchedule spreads the retry times of refused statements.
	ReturnSchedule Name = "return-schedule"
	// LoadReports chooses members by the load that their gates report.
	LoadReports Name = "load-reports"
)

// All returns all names in declaration order.
func All() []Name {
	return []Name{
		Gates, Relays, PeerFloors, RefusalFloors, GateFloors, ReplicaWait, StartupWait, FleetWait, HedgedListing, Snapshots, GateWatch, Reclaim,
		ShortFirst, Detours, StandingLeader, DirectVotes, ObservedSilence, TeamGates, TeamReplicas, Announcement,
		OutlierEjection, FailedReadRetry, FailingPrimary, FairSlots, ReturnSchedule, LoadReports,
	}
}

// Set is the features of a host: it maps the disabled ones to true. The zero value
// enables all features.
type Set map[Name]bool

// Enabled reports whether a feature is enabled.
func (s Set) Enabled(n Name) bool { return !s[n] }

// Disabled returns the disabled features in sorted order.
func (s Set) Disabled() []string {
	var out []string
	for n, disabled := range s {
		if disabled {
			out = append(out, string(n))
		}
	}
	slices.Sort(out)
	return out
}

// UnknownError reports an unknown feature name.
type UnknownError struct{ Name string }

func (e *UnknownError) Error() string {
	var known []string
	for _, n := range All() {
		known = append(known, string(n))
	}
	return fmt.Sprintf("unknown feature %q; known features: %s", e.Name, strings.Join(known, ", "))
}

// Parse returns the features with the named ones disabled. Its error is an
// *UnknownError.
func Parse(names []string) (Set, error) {
	features := Set{}
	for _, name := range names {
		if !slices.Contains(All(), Name(name)) {
			return nil, &UnknownError{Name: name}
		}
		features[Name(name)] = true
	}
	return features, nil
}
