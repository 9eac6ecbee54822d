package group

import "github.com/dotterelswitch/dotterelswitch/core/logpos"

// EntryState is the replication state of a log entry.
type EntryState uint8

// The states of a log entry.
const (
	// Pending means that the outcome is not known yet.
	Pending EntryState = iota
	// Committed means that a majority has the entry in the newest known term, so
	// that no change of primary can lose it.
	Committed
	// Abandoned means that the committed branch of a newer term lacks the
	// entry.
	Abandoned
)

// EntryState returns the state of the entry at p. An entry of an older term is
// compared with the history of the newest primary, once an entry of that
// primary's own term is committed.
func (v *View) EntryState(p logpos.Position) EntryState {
	primary, found := v.Primary()
	if !found || primary.GrantedTerm < p.Term {
		return Pending
	}
	committed := v.CommittedOffset(primary.GrantedTerm)
	if committed == 0 {
		return Pending
	}
	if !primary.History.Contains(p) {
		return Abandoned
	}
	if p.Offset <= committed {
		return Committed
	}
	return Pending
}
