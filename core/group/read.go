package group

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// ReadNeed is what a read asks of the member that serves it.
type ReadNeed struct {
	// Token is the position that the session has seen, zero for none.
	Token logpos.Position
	// Staleness is the greatest age of the data. Zero means that the read
	// needs every write acknowledged before Arrived.
	Staleness time.Duration
	// Arrived is when the request came, on the view's clock.
	Arrived time.Duration
}

// ReadVerdict says whether a member may serve a read now.
type ReadVerdict uint8

// The verdicts on a read.
const (
	// Eligible means that the read may run.
	Eligible ReadVerdict = iota
	// Behind means that the member has not reached the session's position.
	Behind
	// Stale means that the member cannot be shown to be within the bound.
	Stale
	// Unplaced means that too little is known of the group.
	Unplaced
	// Ahead means that the session's position is beyond all that exists.
	Ahead
)

// CanRead judges a read on a replica or primary by what is known of its
// applied log. Positions only grow, so a verdict of Eligible stays true until
// the member changes branch; the caller checks the position of the answer.
func (v *View) CanRead(member string, need ReadNeed) ReadVerdict {
	st, answered := v.Status(member)
	if !answered {
		return Unplaced
	}
	return v.CanServe(st.Applied, need)
}

// CanServe judges a read by the position that it would see, or saw.
func (v *View) CanServe(applied logpos.Position, need ReadNeed) ReadVerdict {
	primary, found := v.Primary()
	if !found {
		return Unplaced
	}
	if v.ahead(primary, need) {
		return Ahead
	}
	if !primary.History.Contains(applied) {
		return Behind
	}
	if need.Token.Term > primary.Claimed {
		return Behind
	}
	seen, _ := primary.History.Clamp(need.Token)
	if applied.Offset < seen {
		return Behind
	}
	fresh, known := v.FreshAt(applied)
	if !known || fresh < need.Arrived-need.Staleness {
		return Stale
	}
	return Eligible
}

// ahead reports whether the token is impossible: a majority has shown after
// the read arrived that the term still stands, and the token is past it.
func (v *View) ahead(primary Status, need ReadNeed) bool {
	stood, found := v.StoodAt(primary.Claimed)
	if !found || stood < need.Arrived || primary.Claimed < v.HighestTerm() {
		return false
	}
	if m := v.member(primary.Member); m.sent < need.Arrived {
		return false
	}
	if need.Token.Term > primary.Claimed {
		return true
	}
	return need.Token.Term == primary.Claimed && need.Token.Offset > primary.Last.Offset
}

// PrimaryAnswered judges a read that ran on a primary after it arrived, by the
// position that it saw. The read is current if a majority still stood by the
// term at a time that covers the bound, and it shows only confirmed entries.
func (v *View) PrimaryAnswered(p logpos.Position, need ReadNeed) Landing {
	if landing := v.Landing(p); landing != Confirmed {
		return landing
	}
	stood, found := v.StoodAt(p.Term)
	if found && stood >= need.Arrived-need.Staleness {
		return Confirmed
	}
	if primary, _ := v.Primary(); primary.Claimed > p.Term {
		return Abandoned
	}
	return Pending
}
