package group

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// ReadRequirement is the consistency that a read requires of the member that
// serves it.
type ReadRequirement struct {
	// Token is the position that the session has seen, or zero.
	Token logpos.Position
	// Staleness is the maximum age of the data. Zero requires every write
	// acknowledged before ArrivedAt.
	Staleness time.Duration
	// ArrivedAt is when the request arrived, on the view's clock.
	ArrivedAt time.Duration
}

// ReadVerdict reports whether a member may serve a read now.
type ReadVerdict uint8

// The verdicts on a read.
const (
	// Eligible means that the member may serve the read.
	Eligible ReadVerdict = iota
	// Behind means that the member has not reached the session's position.
	Behind
	// Stale means that the member cannot be shown to be within the staleness
	// bound.
	Stale
	// Unknown means that too little is known of the group.
	Unknown
	// Ahead means that the session's position is past the end of the log.
	Ahead
)

// CanRead reports whether a member may serve a read, by its last known applied
// position. Positions only increase, so Eligible stays valid until the member
// changes branch; the caller checks the position of the answer.
func (v *View) CanRead(member string, need ReadRequirement) ReadVerdict {
	st, answered := v.Status(member)
	if !answered {
		return Unknown
	}
	return v.CanServe(st.Applied, need)
}

// CanServe reports whether a read is valid at the position at which it runs or
// ran.
func (v *View) CanServe(applied logpos.Position, need ReadRequirement) ReadVerdict {
	primary, found := v.Primary()
	if !found {
		return Unknown
	}
	if v.tokenBeyondLog(primary, need) {
		return Ahead
	}
	if !primary.History.Contains(applied) {
		return Behind
	}
	if need.Token.Term > primary.GrantedTerm {
		return Behind
	}
	required, _ := primary.History.Clamp(need.Token)
	if applied.Offset < required {
		return Behind
	}
	fresh, known := v.FreshAsOf(applied)
	if !known || fresh < need.ArrivedAt-need.Staleness {
		return Stale
	}
	return Eligible
}

// tokenBeyondLog reports whether the token is past the end of the primary's log,
// and so cannot be valid, because the primary's term was still the newest of a
// majority after the read arrived.
func (v *View) tokenBeyondLog(primary Status, need ReadRequirement) bool {
	confirmedAt, found := v.QuorumConfirmedAt(primary.GrantedTerm)
	if !found || confirmedAt < need.ArrivedAt || primary.GrantedTerm < v.HighestTerm() {
		return false
	}
	if m := v.member(primary.Member); m.sent < need.ArrivedAt {
		return false
	}
	if need.Token.Term > primary.GrantedTerm {
		return true
	}
	return need.Token.Term == primary.GrantedTerm && need.Token.Offset > primary.Last.Offset
}

// CheckPrimaryRead reports whether a read that ran on a primary is valid, by the
// position it saw. It is valid (Committed) if it saw only committed entries and the
// primary's term was still the newest of a majority at a time within the staleness
// bound.
func (v *View) CheckPrimaryRead(p logpos.Position, need ReadRequirement) EntryState {
	if state := v.EntryState(p); state != Committed {
		return state
	}
	confirmedAt, found := v.QuorumConfirmedAt(p.Term)
	if found && confirmedAt >= need.ArrivedAt-need.Staleness {
		return Committed
	}
	if primary, _ := v.Primary(); primary.GrantedTerm > p.Term {
		return Abandoned
	}
	return Pending
}
