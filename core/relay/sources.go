package relay

import (
	"github.com/dotterelswitch/dotterelswitch/core/bootstrap"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
)

// MinFleetForSources is the number of hosts from which on a zone has sources: hosts that
// list the store for the others when all start together. In a smaller fleet all hosts can
// list the store at once.
const MinFleetForSources = 100

// UsesSources reports whether the hosts of a fleet copy the content of the store from the
// sources of their zones.
func UsesSources(fleet []gates.Host) bool { return len(fleet) >= MinFleetForSources }

// Sources returns the hosts of this host's zone that should be its sources: those that rank
// first as relays, since they have the fastest links and keep a recent copy. It is empty in
// a small fleet, and if this host is not registered.
func Sources(self gates.Host, fleet []gates.Host) []gates.Host {
	if !UsesSources(fleet) {
		return nil
	}
	var sources []gates.Host
	for _, h := range fleet {
		if h.Zone == self.Zone {
			sources = insertRanked(sources, h, bootstrap.MaxSources)
		}
	}
	return sources
}
