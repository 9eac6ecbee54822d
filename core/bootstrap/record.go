// Package bootstrap decides how a host obtains its first copy of the store, or a new one
// after it may have missed changes, so that the store's work for a fleet that starts at
// once does not grow with hosts times content.
//
// A record on the store names the sources of each zone: a few hosts that list the store
// when the zone starts. Every other host reads the record, which is small, and copies from
// a source. The record outlives its hosts. A host may list the store only while the record
// names it, and it enters the record by a conditional write, so the store itself bounds how
// many hosts list it at a time, whatever their number and however many of them fail.
package bootstrap

import (
	"slices"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/store"
)

// MaxSources is the number of hosts of a zone that list the store at a time. After the loss
// of half of the fleet, one of them runs with a probability of 0.9.
const MaxSources = 3

// Record names the sources of a zone.
type Record struct {
	// Sources are at most MaxSources hosts.
	Sources []gates.Host
	// Revision is that of the record's last change; zero if the store has none.
	Revision store.Revision
}

// Names reports whether a host is a source.
func (r Record) Names(host string) bool {
	return slices.ContainsFunc(r.Sources, func(h gates.Host) bool { return h.Name == host })
}

// SameSources reports whether two records name the same hosts at the same addresses, in
// any order.
func (r Record) SameSources(other []gates.Host) bool {
	if len(r.Sources) != len(other) {
		return false
	}
	return !slices.ContainsFunc(other, func(h gates.Host) bool {
		return !slices.ContainsFunc(r.Sources, func(s gates.Host) bool { return s.Name == h.Name && s.Address == h.Address })
	})
}
