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
	// MaxStaleness is the loosest bound that may be declared.
	MaxStaleness = 7 * 24 * time.Hour
)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]*$`)

// Validate checks a configuration as a whole. The error is a *InvalidError
// with every problem found.
func (c *Config) Validate() error { return c.validate(c) }

// validate checks the receiver's items; names that they refer to are looked up
// in whole.
func (c *Config) validate(whole *Config) error {
	v := &validator{cfg: c, whole: whole}
	v.zones()
	v.services()
	v.classes("class", c.Classes)
	v.teams()
	v.events()
	v.drains()
	if len(v.problems) > 0 {
		return &InvalidError{Problems: v.problems}
	}
	return nil
}

// ValidateItems checks some items of a configuration, against the rest of it.
// It costs as much as there are items, not as the configuration is large. That
// upstream names are unique over all services only Validate checks.
func (c *Config) ValidateItems(items Items) error {
	part := &Config{
		Zones: items.Zones, Services: items.Services, Classes: items.Classes,
		Teams: items.Teams, Events: items.Events, Drains: items.Drains,
	}
	return part.validate(c)
}

// validator collects problems.
type validator struct {
	cfg      *Config
	whole    *Config
	problems []string
}

func (v *validator) addf(format string, args ...any) {
	v.problems = append(v.problems, fmt.Sprintf(format, args...))
}

// name checks the form of a name and that it is new among its kind.
func (v *validator) name(kind, name string, seen map[string]bool) {
	if len(name) > MaxNameLength || !namePattern.MatchString(name) {
		v.addf("%s %q: a name is 1 to %d lower-case letters, digits or hyphens and begins with a letter", kind, name, MaxNameLength)
	}
	if seen[name] {
		v.addf("%s %q is declared twice", kind, name)
	}
	seen[name] = true
}

func (v *validator) zones() {
	seen := make(map[string]bool)
	for _, z := range v.cfg.Zones {
		v.name("zone", z.Name, seen)
		if z.Region == "" {
			v.addf("zone %q: region is missing", z.Name)
		}
	}
}

func (v *validator) services() {
	seen := make(map[string]bool)
	upstreams := make(map[string]bool)
	for _, s := range v.cfg.Services {
		v.name("service", s.Name, seen)
		if len(s.Upstreams) == 0 {
			v.addf("service %q has no upstreams", s.Name)
		}
		for _, u := range s.Upstreams {
			v.name("upstream", u.Name, upstreams)
			v.upstream(u)
		}
	}
}

func (v *validator) upstream(u Upstream) {
	if v.whole.Region(u.Zone) == "" {
		v.addf("upstream %q: zone %q is not declared", u.Name, u.Zone)
	}
	if _, _, err := net.SplitHostPort(u.Address); err != nil {
		v.addf("upstream %q: address %q is not host:port", u.Name, u.Address)
	}
	if u.Slots < 1 || u.Slots > MaxSlots {
		v.addf("upstream %q: slots is %d, allowed are 1 to %d", u.Name, u.Slots, MaxSlots)
	}
	if u.Connections < u.Slots || u.Connections > MaxConnections {
		v.addf("upstream %q: connections is %d, allowed are %d (its slots) to %d", u.Name, u.Connections, u.Slots, MaxConnections)
	}
}

func (v *validator) classes(kind string, classes []Class) {
	seen := make(map[string]bool)
	for _, c := range classes {
		v.name(kind, c.Name, seen)
		if c.Staleness < 0 || c.Staleness > MaxStaleness {
			v.addf("%s %q: staleness is %s, allowed are 0s to %s", kind, c.Name, c.Staleness, MaxStaleness)
		}
	}
}

// credentials checks the keys of one team; holders are the teams before it by their
// keys. A key of two teams would not tell which one its caller acts for.
func (v *validator) credentials(t Team, holders map[catalog.Credential]string) {
	for _, text := range t.Credentials {
		c, err := catalog.ParseCredential(text)
		if err != nil {
			v.addf("team %q: %v", t.Name, err)
			continue
		}
		if other, found := holders[c]; found && other != t.Name {
			v.addf("team %q: key %s is also that of team %q", t.Name, c.Fingerprint(), other)
		}
		holders[c] = t.Name
	}
}

func (v *validator) teams() {
	seen := make(map[string]bool)
	holders := make(map[catalog.Credential]string)
	for _, t := range v.cfg.Teams {
		v.name("team", t.Name, seen)
		if t.Weight < 0 || t.Weight > 1000 {
			v.addf("team %q: weight is %g, allowed are 0 to 1000", t.Name, t.Weight)
		}
		if t.Connections < 0 {
			v.addf("team %q: connections is %d, allowed are 0 and more", t.Name, t.Connections)
		}
		v.credentials(t, holders)
	}
}

func (v *validator) events() {
	seen := make(map[string]bool)
	for _, e := range v.cfg.Events {
		v.name("event", e.Name, seen)
		if e.Start.IsZero() {
			v.addf("event %q: start is missing", e.Name)
		}
		for _, s := range e.Services {
			if _, found := v.whole.Service(s); !found {
				v.addf("event %q: service %q is not declared", e.Name, s)
			}
		}
		v.classes("event "+e.Name+" class", e.Staleness)
	}
}

func (v *validator) drains() {
	for _, d := range v.cfg.Drains {
		if d.Kind != DrainHost && d.Kind != DrainUpstream {
			v.addf("drain %q: kind is %q, allowed are %q and %q", d.Name, d.Kind, DrainHost, DrainUpstream)
		}
		if d.Kind == DrainUpstream && !v.hasUpstream(d.Name) {
			v.addf("drain: upstream %q is not declared", d.Name)
		}
	}
}

func (v *validator) hasUpstream(name string) bool {
	for _, s := range v.whole.Services {
		if _, found := s.Upstream(name); found {
			return true
		}
	}
	return false
}
