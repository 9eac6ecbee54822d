package router

import (
	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/core/route"
)

// table returns the routing table of a service. It first updates all tables if
// the configuration version has changed.
func (r *Router) table(cfg *conf.Config, svc conf.Service) *serviceTable {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cfg.Version != r.tablesVersion {
		r.tablesVersion = cfg.Version
		for name, st := range r.tables {
			if s, found := cfg.Service(name); found {
				st.table.SetMembers(r.members(cfg, s))
			} else {
				delete(r.tables, name)
			}
		}
	}
	st, found := r.tables[svc.Name]
	if !found {
		st = &serviceTable{table: route.NewTable(r.members(cfg, svc))}
		r.tables[svc.Name] = st
	}
	return st
}

func (r *Router) members(cfg *conf.Config, svc conf.Service) []route.Member {
	out := make([]route.Member, 0, len(svc.Upstreams))
	for _, u := range svc.Upstreams {
		out = append(out, route.Member{
			Name: u.Name, Distance: r.distance(cfg, u.Zone),
			Draining: cfg.Draining(conf.DrainUpstream, u.Name),
		})
	}
	return out
}

func (r *Router) distance(cfg *conf.Config, zone string) route.Distance {
	switch {
	case zone == r.self.Zone:
		return route.SameZone
	case cfg.Region(zone) == cfg.Region(r.self.Zone):
		return route.SameRegion
	default:
		return route.OtherRegion
	}
}
