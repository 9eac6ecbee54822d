package conf

import (
	"slices"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"time"
)

func (c *Config) Service(name string) (Service, bool) {
	return find(c.Services, name, serviceName)
}

func (s Service) Upstream(name string) (Upstream, bool) {
	i := slices.IndexFunc(s.Upstreams, func(u Upstream) bool { return u.Name == name })
	if i < 0 {
		return Upstream{}, false
	}
	return s.Upstreams[i], true
}

// UpstreamNames returns the names of the service's upstreams in declaration order.
func (s Service) UpstreamNames() []string {
	names := make([]string, 0, len(s.Upstreams))
	for _, u := range s.Upstreams {
		names = append(names, u.Name)
	}
	return names
}

// Region returns the region of a zone, or "" when the zone is unknown.
func (c *Config) Region(zone string) string {
	z, _ := find(c.Zones, zone, zoneName)
	return z.Region
}

// Staleness returns the staleness bound of a class on a service at a time: the
// override of a started event that names both, or else the class's own bound. The
// second result is false if neither declares the class.
func (c *Config) Staleness(class, service string, at time.Time) (time.Duration, bool) {
	for _, e := range c.Events {
		if at.Before(e.Start) || !slices.Contains(e.Services, service) {
			continue
		}
		if bound, found := classStaleness(e.Staleness, class); found {
			return bound, true
		}
	}
	cl, found := find(c.Classes, class, className)
	return cl.Staleness, found
}

func (c *Config) Team(name string) (Team, bool) { return find(c.Teams, name, teamName) }

// RequiresKeys reports whether callers must authenticate with a key.
func (c *Config) RequiresKeys() bool {
	return slices.ContainsFunc(c.Teams, func(t Team) bool { return len(t.Credentials) > 0 })
}

// Authorizes reports whether a caller with the given credential may act for a team.
func (c *Config) Authorizes(team string, credential catalog.Credential) bool {
	if !c.RequiresKeys() {
		return true
	}
	t, found := c.Team(team)
	return found && slices.Contains(t.Credentials, credential.String())
}

func classStaleness(classes []Class, name string) (time.Duration, bool) {
	i := slices.IndexFunc(classes, func(c Class) bool { return c.Name == name })
	if i < 0 {
		return 0, false
	}
	return classes[i].Staleness, true
}

// Weight returns the team's weight in fair sharing. Undeclared teams and teams
// without a weight have 1.
func (c *Config) Weight(team string) float64 {
	t, found := find(c.Teams, team, teamName)
	if !found || t.Weight == 0 {
		return 1
	}
	return t.Weight
}

// Draining reports whether a drain names the host or upstream.
func (c *Config) Draining(kind DrainKind, name string) bool {
	_, found := find(c.Drains, drainKey(Drain{Kind: kind, Name: name}), drainKey)
	return found
}
