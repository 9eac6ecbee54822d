package relay

import (
	"slices"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
)

const (
	// MinFleetForSnapshots is the number of hosts from which on a starting host takes the
	// content of the store from another host. In a smaller fleet all hosts can list the
	// store at once.
	MinFleetForSnapshots = 100
	// maxSources is how many hosts are asked for a snapshot before the store is listed.
	// After the loss of half of the fleet, one of them runs with a probability of 0.9.
	maxSources = 3
)

// SnapshotSources returns the hosts that a starting host asks for the content of the
// store: those of its zone that rank first as relays. It is empty in a small fleet.
//
// A listing of a large store takes tens of calls and more than a megabyte for each host,
// so that the store's link is the limit when hundreds of hosts start together. The hosts
// with the fastest links of each zone have the content already.
func SnapshotSources(self gates.Host, fleet []gates.Host) []gates.Host {
	if len(fleet) < MinFleetForSnapshots {
		return nil
	}
	var zone []gates.Host
	for _, h := range fleet {
		if h.Zone == self.Zone && h.Name != self.Name {
			zone = append(zone, h)
		}
	}
	slices.SortFunc(zone, compareRank)
	return zone[:min(len(zone), maxSources)]
}
