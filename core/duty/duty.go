// Package duty decides for which groups a host is responsible: those of whose members it
// is a gate, and those on whose primary it votes.
//
// A host keeps the state of a group (connections, failure detection, a promoter) only
// while it is responsible for the group or its callers use it. In a fleet of hundreds of
// hosts before a thousand groups that is a few dozen groups instead of all of them, so
// memory and processor time of a host grow with the groups for each host, not with the
// groups.
package duty

import (
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
)

// Duties tracks the groups for which one host is responsible while the fleet changes. It
// is not safe for concurrent use.
type Duties struct {
	host   string
	groups map[string]*group
}

// group holds the rankings of hosts for one group.
type group struct {
	voters      *succession.VoterSet
	shares      *gates.ShareCache
	responsible bool
}

// New returns the duties of a host without any group.
func New(host string) *Duties { return &Duties{host: host, groups: map[string]*group{}} }

// Update applies a group's members and the number of connections that each of them
// accepts. It reports whether the host is responsible for the group. Calling it for each
// group after every change of the fleet costs least, because the rankings are updated by
// the difference from the previous fleet.
func (d *Duties) Update(service string, members []gates.Member, connections int, fleet gates.Fleet) bool {
	g, found := d.groups[service]
	if !found {
		g = &group{voters: succession.NewVoterSet(service), shares: gates.NewShareCache(d.host)}
		d.groups[service] = g
	}
	plan := gates.NewPlan(fleet, connections)
	g.responsible = g.voters.IsVoter(d.host, fleet)
	listed := make(map[string]bool, len(members))
	for _, m := range members {
		listed[m.ID] = true
		if g.shares.IsGate(plan, m) {
			g.responsible = true
		}
	}
	g.shares.Retain(listed)
	return g.responsible
}

// Responsible reports the result of the latest update of a group.
func (d *Duties) Responsible(service string) bool {
	g, found := d.groups[service]
	return found && g.responsible
}

// Retain forgets the groups that are not listed.
func (d *Duties) Retain(listed func(service string) bool) {
	for service := range d.groups {
		if !listed(service) {
			delete(d.groups, service)
		}
	}
}
