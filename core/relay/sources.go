package relay

import (
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/membership"
)

const (
	// MinFleetForSnapshots is the number of hosts from which on a starting host takes the
	// content of the store from another host. In a smaller fleet all hosts can list the
	// store at once.
	MinFleetForSnapshots = 100
	// maxSources is how many hosts are asked for a snapshot before the store is listed.
	// After the loss of half of the fleet, one of them runs with a probability of 0.9.
	maxSources = 3
	// SnapshotRetry is the time after which the sources are asked again while they have
	// no content yet.
	SnapshotRetry = 200 * time.Millisecond
	// MaxSnapshotWait bounds the time for which a host waits for a source. It
	// covers a listing of tens of pages by the sources, beside others.
	MaxSnapshotWait = 4 * time.Second
)

// SnapshotSources returns the hosts that a starting host asks for the content of the
// store: those of its zone that rank first as relays, in an order that differs between
// starting hosts, since many may start together. It is empty in a small fleet.
//
// A listing of a large store takes tens of calls and more than a megabyte for each host,
// so that the store's link is the limit when hundreds of hosts start together. The hosts
// with the fastest links of each zone have the content already.
func SnapshotSources(self gates.Host, fleet []gates.Host) []gates.Host {
	if len(fleet) < MinFleetForSnapshots {
		return nil
	}
	sources := othersOfZone(self, fleet)
	if len(sources) == 0 {
		return nil
	}
	slices.SortFunc(sources, compareRank)
	sources = sources[:min(len(sources), maxSources)]
	first := int(membership.Score(self.Zone, self.Name) % uint64(len(sources)))
	return slices.Concat(sources[first:], sources[:first])
}

// AwaitsSnapshot reports whether a host that lacks the content of the store, or may have
// missed changes, waits for one of SnapshotSources to have it rather than list the store,
// because the fleet has hosts that rank before it as sources.
//
// When a whole fleet starts or loses its history, no host has the content yet, and as many
// listings as there are hosts would take the store's link for seconds. So a few hosts of
// each zone list it.
func AwaitsSnapshot(self gates.Host, fleet []gates.Host) bool {
	if len(fleet) < MinFleetForSnapshots {
		return false
	}
	before := 0
	for _, h := range othersOfZone(self, fleet) {
		if compareRank(h, self) < 0 {
			before++
		}
	}
	return before >= maxSources
}

// othersOfZone returns the other hosts of the zone.
func othersOfZone(self gates.Host, fleet []gates.Host) []gates.Host {
	var zone []gates.Host
	for _, h := range fleet {
		if h.Zone == self.Zone && h.Name != self.Name {
			zone = append(zone, h)
		}
	}
	return zone
}
