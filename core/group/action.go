package group

import "github.com/dotterelswitch/dotterelswitch/core/logpos"

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions. The reply to Probe, Claim and Promote is passed to the
// corresponding On method of Controller.
const (
	// Probe requests the status of Member.
	Probe ActionKind = iota
	// Claim asks Member to grant Term to this host.
	Claim
	// Promote orders Member to become the primary of Term.
	Promote
	// Follow orders Member to replicate from Primary in Term.
	Follow
	// Record publishes that Primary is the primary of Term. It informs other
	// hosts; the controller does not wait for it.
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

// Action is something that the host must do for the controller.
type Action struct {
	Kind    ActionKind
	Member  string
	Term    logpos.Term
	Primary string
}
