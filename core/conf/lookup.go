package conf

import (
	"slices"
	"time"
)

// Service returns a service by name.
func (c *Config) Service(name string) (Service, bool) {
	i := slices.IndexFunc(c.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return c.Services[i], true
}

// Upstream returns one upstream of the service by name.
func (s Service) Upstream(name string) (Upstream, bool) {
	i := slices.IndexFunc(s.Upstreams, func(u Upstream) bool { return u.Name == name })
	if i < 0 {
		return Upstream{}, false
	}
	return s.Upstreams[i], true
}

// UpstreamNames returns the names of the service's upstreams, in order.
func (s Service) UpstreamNames() []string {
	names := make([]string, 0, len(s.Upstreams))
	for _, u := range s.Upstreams {
		names = append(names, u.Name)
	}
	return names
}

// Region returns the region of a zone, or "" when the zone is unknown.
func (c *Config) Region(zone string) string {
	i := slices.IndexFunc(c.Zones, func(z Zone) bool { return z.Name == zone })
	if i < 0 {
		return ""
	}
	return c.Zones[i].Region
}

// Staleness returns the bound for a class on a service at a time: that of a
// started event that names both, or the class's own. The second result is
// false when the class is not declared.
func (c *Config) Staleness(class, service string, at time.Time) (time.Duration, bool) {
	for _, e := range c.Events {
		if at.Before(e.Start) || !slices.Contains(e.Services, service) {
			continue
		}
		if bound, found := staleness(e.Staleness, class); found {
			return bound, true
		}
	}
	return staleness(c.Classes, class)
}

func staleness(classes []Class, name string) (time.Duration, bool) {
	i := slices.IndexFunc(classes, func(c Class) bool { return c.Name == name })
	if i < 0 {
		return 0, false
	}
	return classes[i].Staleness, true
}

// Weight returns the tenant's share; tenants that are not declared have 1, so
// that all are treated alike.
func (c *Config) Weight(tenant string) float64 {
	i := slices.IndexFunc(c.Tenants, func(t Tenant) bool { return t.Name == tenant })
	if i < 0 || c.Tenants[i].Weight == 0 {
		return 1
	}
	return c.Tenants[i].Weight
}

// Draining reports whether a drain names the host or upstream.
func (c *Config) Draining(kind DrainKind, name string) bool {
	return slices.Contains(c.Drains, Drain{Kind: kind, Name: name})
}
