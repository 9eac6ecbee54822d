package registry

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// State is what a registry holds at one moment, as an operator sees it.
type State struct {
	// Away tells that neither the store nor a relay answers.
	Away bool
	// Heard is how long ago one of them last answered.
	Heard    time.Duration
	Revision store.Revision
	// Direct tells that this host follows the store itself; Relay is the host that it
	// follows otherwise.
	Direct           bool
	Relay            string
	Followers, Hosts int
}

// State returns what the registry holds now.
func (r *Registry) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return State{
		Away: r.away, Heard: clock.Now() - r.heardAt, Revision: r.revision,
		Direct: r.direct, Relay: r.followed, Followers: r.followers, Hosts: r.roster.Len(),
	}
}
