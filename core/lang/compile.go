package lang

import (
	"strings"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
)

// Program is the compiled form of a file: the items to put and to delete.
type Program struct {
	Put    conf.Items
	Delete conf.Names
}

// Compile parses statements. The error is a *SyntaxError with the position of the
// first syntax error. Compile does not validate the items; use
// conf.Config.Validate on the resulting configuration.
func Compile(file, text string) (*Program, error) {
	parsed, err := parser.ParseString(file, text)
	if err != nil {
		return nil, syntaxError(err, text)
	}
	p := &Program{}
	for _, st := range parsed.Statements {
		if err := p.add(st); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// Append adds the items of another program.
func (p *Program) Append(other *Program) {
	p.Put.Zones = append(p.Put.Zones, other.Put.Zones...)
	p.Put.Services = append(p.Put.Services, other.Put.Services...)
	p.Put.Classes = append(p.Put.Classes, other.Put.Classes...)
	p.Put.Teams = append(p.Put.Teams, other.Put.Teams...)
	p.Put.Events = append(p.Put.Events, other.Put.Events...)
	p.Put.Drains = append(p.Put.Drains, other.Put.Drains...)
	p.Delete.Zones = append(p.Delete.Zones, other.Delete.Zones...)
	p.Delete.Services = append(p.Delete.Services, other.Delete.Services...)
	p.Delete.Classes = append(p.Delete.Classes, other.Delete.Classes...)
	p.Delete.Teams = append(p.Delete.Teams, other.Delete.Teams...)
	p.Delete.Events = append(p.Delete.Events, other.Delete.Events...)
	p.Delete.Drains = append(p.Delete.Drains, other.Delete.Drains...)
}

func (p *Program) add(st *statement) error {
	switch {
	case st.Zone != nil:
		p.Put.Zones = append(p.Put.Zones, conf.Zone{Name: st.Zone.Name, Region: st.Zone.Region})
	case st.Service != nil:
		p.Put.Services = append(p.Put.Services, st.Service.compile())
	case st.Class != nil:
		bound, err := st.Class.Staleness.duration()
		if err != nil {
			return err
		}
		p.Put.Classes = append(p.Put.Classes, conf.Class{Name: st.Class.Name, Staleness: bound})
	case st.Team != nil:
		p.Put.Teams = append(p.Put.Teams, compileTeam(st.Team))
	case st.Event != nil:
		e, err := st.Event.compile()
		if err != nil {
			return err
		}
		p.Put.Events = append(p.Put.Events, e)
	case st.Drop != nil:
		p.drop(st.Drop)
	default:
		p.drain(st.Drain)
	}
	return nil
}

func (d *serviceDecl) compile() conf.Service {
	s := conf.Service{Name: d.Name}
	for _, u := range d.Upstreams {
		s.Upstreams = append(s.Upstreams, conf.Upstream{
			Name: u.Name, Zone: u.Zone, Address: unquote(u.Address), Slots: u.Slots, Connections: u.Connections,
		})
	}
	return s
}

func (d *eventDecl) compile() (conf.Event, error) {
	start, err := time.Parse(time.RFC3339, unquote(d.Start.Text))
	if err != nil {
		return conf.Event{}, errorAt(d.Start.Pos, "%s is not a time such as '2026-12-02T08:00:00-05:00'", d.Start.Text)
	}
	e := conf.Event{Name: d.Name, Start: start.UTC(), Services: d.Services}
	for _, s := range d.Staleness {
		bound, err := s.Bound.duration()
		if err != nil {
			return conf.Event{}, err
		}
		e.Staleness = append(e.Staleness, conf.Class{Name: s.Class, Staleness: bound})
	}
	return e, nil
}

func (p *Program) drop(d *dropStmt) {
	switch strings.ToUpper(d.Kind) {
	case "ZONE":
		p.Delete.Zones = append(p.Delete.Zones, d.Name)
	case "SERVICE":
		p.Delete.Services = append(p.Delete.Services, d.Name)
	case "CLASS":
		p.Delete.Classes = append(p.Delete.Classes, d.Name)
	case "TEAM":
		p.Delete.Teams = append(p.Delete.Teams, d.Name)
	default:
		p.Delete.Events = append(p.Delete.Events, d.Name)
	}
}

func (p *Program) drain(d *drainStmt) {
	item := conf.Drain{Kind: conf.DrainKind(strings.ToLower(d.Kind)), Name: d.Name}
	if strings.EqualFold(d.Verb, "DRAIN") {
		p.Put.Drains = append(p.Put.Drains, item)
	} else {
		p.Delete.Drains = append(p.Delete.Drains, item)
	}
}

func unquote(s string) string { return strings.Trim(s, "'") }

func (l literal) duration() (time.Duration, error) {
	d, err := time.ParseDuration(unquote(l.Text))
	if err != nil {
		return 0, errorAt(l.Pos, "%s is not a duration such as '500ms' or '5s'", l.Text)
	}
	return d, nil
}

func compileTeam(d *teamDecl) conf.Team {
	t := conf.Team{Name: d.Name, Weight: d.Weight, Connections: d.Connections}
	for _, text := range d.Credentials {
		t.Credentials = append(t.Credentials, unquote(text))
	}
	return t
}
