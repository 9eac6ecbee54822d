// Package membership tells a host which other hosts are alive. Hosts learn of
// each other from the platform's lagging list and correct it by direct probes
// and by rumours carried on those probes, in the manner of SWIM (Das, Gupta
// and Motivala, 2002). The rate per host does not depend on the fleet's size.
// Nothing that must be agreed rests on membership: hosts that disagree only
// send work to a host that refuses it.
package membership

// State is what is believed of a host. Larger states win within one
// incarnation.
type State uint8

// The states of a host.
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

// Host is one entry host of the system.
type Host struct {
	ID   string
	Zone string
	// Peer is the address for calls between hosts.
	Peer string
	// Incarnation grows with each start of the process under the same ID, and
	// when a live host refutes a suspicion.
	Incarnation uint64
	State       State
}

// supersedes reports whether h is newer knowledge than old.
func (h Host) supersedes(old Host) bool {
	if h.Incarnation != old.Incarnation {
		return h.Incarnation > old.Incarnation
	}
	return h.State > old.State
}
