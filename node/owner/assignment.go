package owner

import (
	"slices"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/core/membership"
)

// assignment is an upstream whose pool belongs to this host.
type assignment struct {
	service  conf.Service
	upstream conf.Upstream
}

// assignments returns the upstreams whose pools a host owns: those of its own
// zone that hash to it, and those of zones without hosts.
func assignments(cfg *conf.Config, placement *membership.Placement, self membership.Host) []assignment {
	var out []assignment
	for _, s := range cfg.Services {
		for _, u := range s.Upstreams {
			if u.Zone != self.Zone && len(placement.Zone(u.Zone)) > 0 {
				continue
			}
			if h, found := placement.Owner(u.Name, u.Zone); found && h.ID == self.ID {
				out = append(out, assignment{service: s, upstream: u})
			}
		}
	}
	return out
}

// ownersOf returns the hosts that own members of a service, ranked by
// rendezvous hashing on the service.
func ownersOf(s conf.Service, placement *membership.Placement) []string {
	var owners []membership.Host
	for _, u := range s.Upstreams {
		h, found := placement.Owner(u.Name, u.Zone)
		if found && !slices.Contains(owners, h) {
			owners = append(owners, h)
		}
	}
	ids := make([]string, 0, len(owners))
	for _, h := range membership.Ranked(s.Name, owners) {
		ids = append(ids, h.ID)
	}
	return ids
}
