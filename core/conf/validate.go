package conf

import (
	"fmt"
	"net"
	"regexp"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
)

// Limits of a configuration.
const (
	MaxNameLength  = 63
	MaxSlots       = 10_000
	MaxConnections = 100_000
	// MaxStaleness is the largest staleness bound that may be declared.
	MaxStaleness = 7 * 24 * time.Hour

	maxTeamWeight = 1000
)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]*$`)

// Validate checks the whole configuration. The error is an *InvalidError that
// lists every problem found.
func (c *Config) Validate() error { return c.validate(c) }

// validate checks the receiver's items; names that they refer to are looked up in
// full.
func (c *Config) validate(full *Config) error {
	v := &validator{cfg: c, full: full}
	v.checkZones()
	v.checkServices()
	v.checkClasses("class", c.Classes)
	v.checkTeams()
	v.checkEvents()
	v.checkDrains()
	if len(v.problems) > 0 {
		return &InvalidError{Problems: v.problems}
	}
	return nil
}

// ValidateItems checks only the given items; names that they refer to are looked
// up in the receiver. It does not compare the items with the whole configuration:
// only Validate detects an upstream name or a credential that is also declared
// outside the given items.
func (c *Config) ValidateItems(items Items) error {
	part := &Config{
		Zones: items.Zones, Services: items.Services, Classes: items.Classes,
		Teams: items.Teams, Events: items.Events, Drains: items.Drains,
	}
	return part.validate(c)
}

// validator collects the problems of the items in cfg.
type validator struct {
	cfg      *Config
	full     *Config
	problems []string
}

func (v *validator) problemf(format string, args ...any) {
	v.problems = append(v.problems, fmt.Sprintf(format, args...))
}

// checkName checks the syntax of a name and that it is not in seen, and adds it.
func (v *validator) checkName(kind, name string, seen map[string]bool) {
	if len(name) > MaxNameLength || !namePattern.MatchString(name) {
		v.problemf("%s %q: a name is 1 to %d lower-case letters, digits or hyphens and begins with a letter", kind, name, MaxNameLength)
	}
	if seen[name] {
		v.problemf("%s %q is declared twice", kind, name)
	}
	seen[name] = true
}

func (v *validator) checkZones() {
	seen := make(map[string]bool)
	for _, z := range v.cfg.Zones {
		v.checkName("zone", z.Name, seen)
		if z.Region == "" {
			v.problemf("zone %q: region is missing", z.Name)
		}
	}
}

func (v *validator) checkServices() {
	seen := make(map[string]bool)
	// Drains name an upstream without its service, so upstream names are unique over
	// all services.
	upstreams := make(map[string]bool)
	for _, s := range v.cfg.Services {
		v.checkName("service", s.Name, seen)
		if len(s.Upstreams) == 0 {
			v.problemf("service %q has no upstreams", s.Name)
		}
		for _, u := range s.Upstreams {
			v.checkName("upstream", u.Name, upstreams)
			v.checkUpstream(u)
		}
	}
}

func (v *validator) checkUpstream(u Upstream) {
	if v.full.Region(u.Zone) == "" {
		v.problemf("upstream %q: zone %q is not declared", u.Name, u.Zone)
	}
	if _, _, err := net.SplitHostPort(u.Address); err != nil {
		v.problemf("upstream %q: address %q is not host:port", u.Name, u.Address)
	}
	if u.Slots < 1 || u.Slots > MaxSlots {
		v.problemf("upstream %q: slots is %d, allowed are 1 to %d", u.Name, u.Slots, MaxSlots)
	}
	if u.Connections < u.Slots || u.Connections > MaxConnections {
		v.problemf("upstream %q: connections is %d, allowed are %d (its slots) to %d", u.Name, u.Connections, u.Slots, MaxConnections)
	}
}

func (v *validator) checkClasses(kind string, classes []Class) {
	seen := make(map[string]bool)
	for _, c := range classes {
		v.checkName(kind, c.Name, seen)
		if c.Staleness < 0 || c.Staleness > MaxStaleness {
			v.problemf("%s %q: staleness is %s, allowed are 0s to %s", kind, c.Name, c.Staleness, MaxStaleness)
		}
	}
}

// checkCredentials checks the credentials of one team and adds them to teamByKey,
// which holds those of the teams checked before. A key must belong to one team only,
// because it identifies the caller's team.
func (v *validator) checkCredentials(t Team, teamByKey map[catalog.Credential]string) {
	for _, text := range t.Credentials {
		c, err := catalog.ParseCredential(text)
		if err != nil {
			v.problemf("team %q: %v", t.Name, err)
			continue
		}
		if other, found := teamByKey[c]; found && other != t.Name {
			v.problemf("team %q: key %s is also that of team %q", t.Name, c.Fingerprint(), other)
		}
		teamByKey[c] = t.Name
	}
}

func (v *validator) checkTeams() {
	seen := make(map[string]bool)
	teamByKey := make(map[catalog.Credential]string)
	for _, t := range v.cfg.Teams {
		v.checkName("team", t.Name, seen)
		if t.Weight < 0 || t.Weight > maxTeamWeight {
			v.problemf("team %q: weight is %g, allowed are 0 to %d", t.Name, t.Weight, maxTeamWeight)
		}
		if t.Connections < 0 {
			v.problemf("team %q: connections is %d, allowed are 0 and more", t.Name, t.Connections)
		}
		v.checkCredentials(t, teamByKey)
	}
}

func (v *validator) checkEvents() {
	seen := make(map[string]bool)
	for _, e := range v.cfg.Events {
		v.checkName("event", e.Name, seen)
		if e.Start.IsZero() {
			v.problemf("event %q: start is missing", e.Name)
		}
		for _, s := range e.Services {
			if _, found := v.full.Service(s); !found {
				v.problemf("event %q: service %q is not declared", e.Name, s)
			}
		}
		v.checkClasses("event "+e.Name+" class", e.Staleness)
	}
}

// checkDrains checks the drains. Hosts are not part of the configuration, so any
// host name is valid.
func (v *validator) checkDrains() {
	for _, d := range v.cfg.Drains {
		if d.Kind != DrainHost && d.Kind != DrainUpstream {
			v.problemf("drain %q: kind is %q, allowed are %q and %q", d.Name, d.Kind, DrainHost, DrainUpstream)
		}
		if d.Kind == DrainUpstream && !v.hasUpstream(d.Name) {
			v.problemf("drain: upstream %q is not declared", d.Name)
		}
	}
}

func (v *validator) hasUpstream(name string) bool {
	for _, s := range v.full.Services {
		if _, found := s.Upstream(name); found {
			return true
		}
	}
	return false
}
