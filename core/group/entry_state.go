package group

import "github.com/dotterelswitch/dotterelswitch/core/logpos"

// Landing is what is known of an entry's fate.
type Landing uint8

// The fates of an entry.
const (
	// Pending means that it is not known yet.
	Pending Landing = iota
	// Confirmed means that a majority holds it in the newest term known, so
	// that no change of primary can lose it.
	Confirmed
	// Abandoned means that a newer term's confirmed branch lacks it.
	Abandoned
)

// Landing returns the fate of the entry at p. An entry of an older term is
// judged by the newest primary's history, once an entry of that primary's own
// term is confirmed.
func (v *View) Landing(p logpos.Position) Landing {
	primary, found := v.Primary()
	if !found || primary.Claimed < p.Term {
		return Pending
	}
	confirmed := v.Confirmed(primary.Claimed)
	if confirmed == 0 {
		return Pending
	}
	if !primary.History.Contains(p) {
		return Abandoned
	}
	if p.Offset <= confirmed {
		return Confirmed
	}
	return Pending
}
