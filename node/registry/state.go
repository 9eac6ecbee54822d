package registry

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/core/storelink"
)

// State is a snapshot of a registry for status output and metrics.
type State struct {
	// Unreachable is set after a failed call to the store until the store or a relay
	// sends data again.
	Unreachable bool
	// Phase is how this host learns of changes.
	Phase storelink.Phase
	// SinceContact is the time since one of them last answered.
	SinceContact time.Duration
	Revision     store.Revision
	// Direct is set while this host watches the store itself; otherwise Relay is the
	// host that it follows.
	Direct           bool
	Relay            string
	Followers, Hosts int
	// MayRelay is set if other hosts of the zone may follow this one.
	MayRelay bool
	// Keys is the number of keys in the local copy.
	Keys int
}

func (r *Registry) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return State{
		Unreachable: r.link.Unreachable(), Phase: r.link.Phase(), SinceContact: r.link.SinceAnswer(r.now()), Revision: r.revision,
		Direct: r.link.UsesStore(), Relay: r.link.Relay(), Followers: r.followers, Hosts: r.roster.Len(),
		MayRelay: r.usesRelays() && r.relaySelector.MayRelay(r.currentFleet().hosts), Keys: len(r.items),
	}
}
