// Package membership tracks which other hosts are alive. It serves the hosts of
// PostgreSQL groups; package core/roster tracks the hosts on the users' platform. The
// rendezvous hashing in this package serves both.
//
// Hosts learn of each other from a list in the service registry, which lags, and correct
// it by direct probes and by rumours piggybacked on those probes, as in SWIM (Das, Gupta
// and Motivala, 2002). The message rate per host does not depend on the fleet's size. No
// decision that requires agreement depends on membership: hosts that disagree only send
// work to a host that refuses it.
package membership

// State is the assumed state of a host. Within one incarnation the higher state takes
// precedence.
type State uint8

// The states of a host, in ascending order of precedence.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
)

var stateNames = [...]string{"alive", "suspect", "leaving", "dead"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// Host describes a host of the fleet.
type Host struct {
	ID   string
	Zone string
	// Peer is the address for calls between hosts.
	Peer string
	// Incarnation increases with each start of the process under the same ID, and when
	// a live host refutes a suspicion.
	Incarnation uint64
	State       State
}

// supersedes reports whether h is newer information than old.
func (h Host) supersedes(old Host) bool {
	if h.Incarnation != old.Incarnation {
		return h.Incarnation > old.Incarnation
	}
	return h.State > old.State
}
