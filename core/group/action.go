package group

import "github.com/dotterelswitch/dotterelswitch/core/logpos"

// ActionKind says what the host must do for the controller.
type ActionKind uint8

// The actions. Each is sent at most once per emission; the answer, if any,
// comes back through the matching method of Controller.
const (
	// Probe asks Member for its status.
	Probe ActionKind = iota
	// Claim asks Member to grant Term to this host.
	Claim
	// Promote orders Member to become the primary of Term.
	Promote
	// Follow orders Member to replicate from Primary in Term.
	Follow
	// Record notes in the platform's service that Primary reigns in Term. It
	// is for other hosts' information; nothing waits for it.
	Record
)

func (k ActionKind) String() string {
	switch k {
	case Probe:
		return "probe"
	case Claim:
		return "claim"
	case Promote:
		return "promote"
	case Follow:
		return "follow"
	default:
		return "record"
	}
}

// Action is one order to the host.
type Action struct {
	Kind    ActionKind
	Member  string
	Term    logpos.Term
	Primary string
}
