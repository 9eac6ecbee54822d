// Package fleetsim simulates how the store's changes reach a large fleet: leases, watches,
// relays, and starts of all hosts at once, at sizes of which no test deployment exists.
// The decisions are the hosts' own (core/relay, core/roster, core/storelink); the store,
// the links and the processors are models with a rate, in simulated time. It answers what
// grows with the fleet: the time until a change is in force everywhere, and the calls,
// bytes and queues of the busiest host.
package fleetsim

import (
	"fmt"
	"time"
)

// Fault is what happens at the moment of the configuration change.
type Fault string

const (
	NoFault Fault = "none"
	// RelayLoss kills the relay of each zone.
	RelayLoss Fault = "relays"
	// StoreRefusals lets the store refuse a third of the hosts.
	StoreRefusals Fault = "store"
	// Compaction lets the store forget its history and leave the watches of that time
	// without an answer.
	Compaction Fault = "compaction"
	// HalfRestart kills a random half of the hosts and starts them at once.
	HalfRestart Fault = "half"
	// Restart kills all hosts and starts them at once, beside a store that still has
	// their registrations.
	Restart Fault = "restart"
	// SourceLoss is Restart of all hosts but the sources, which do not come back.
	SourceLoss Fault = "sources"
)

// Faults are all faults, in the order in which they are documented.
func Faults() []Fault {
	return []Fault{NoFault, RelayLoss, StoreRefusals, Compaction, HalfRestart, Restart, SourceLoss}
}

// Options describes one simulated fleet.
type Options struct {
	Hosts int
	Zones int
	// GroupsPerHost is the number of groups of three members for each host.
	GroupsPerHost float64
	// ConfigBytes is the size of the encoded configuration.
	ConfigBytes int
	// ConfigApplyTime is the time within which a change must be active.
	ConfigApplyTime time.Duration
	// StoreFilledAt is when the platform writes the first configuration and the members
	// their first entries, after the start of the hosts; with zero the store has them
	// before.
	StoreFilledAt time.Duration
	Fault         Fault
	Seed          uint64
}

// DefaultOptions returns the options of a fleet with the given number of hosts.
func DefaultOptions(hosts int) Options {
	return Options{Hosts: hosts, Zones: 6, GroupsPerHost: 1, ConfigBytes: 256 << 10, ConfigApplyTime: 8 * time.Second, Fault: NoFault, Seed: 1}
}

// OptionsError reports options that describe no fleet.
type OptionsError struct{ Reason string }

func (e *OptionsError) Error() string { return "simulated fleet: " + e.Reason }

// maxHosts bounds the memory of a simulation.
const maxHosts = 10_000

func (o Options) validate() error {
	switch {
	case o.Hosts < 1 || o.Hosts > maxHosts:
		return &OptionsError{fmt.Sprintf("%d hosts; 1 to %d are possible", o.Hosts, maxHosts)}
	case o.Zones < 1 || o.Zones > o.Hosts:
		return &OptionsError{fmt.Sprintf("%d zones for %d hosts", o.Zones, o.Hosts)}
	case o.StoreFilledAt < 0 || o.StoreFilledAt >= changeAt:
		return &OptionsError{fmt.Sprintf("the store is filled at %s; 0 to %s after the start of the hosts is possible", o.StoreFilledAt, changeAt)}
	case o.GroupsPerHost < 0 || o.ConfigBytes <= 0 || o.ConfigApplyTime <= 0:
		return &OptionsError{"groups must not be negative, the configuration's size and time must be positive"}
	}
	for _, f := range Faults() {
		if f == o.Fault {
			return nil
		}
	}
	return &OptionsError{fmt.Sprintf("unknown fault %q", o.Fault)}
}
