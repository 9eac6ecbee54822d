package lang

import (
	"strings"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
)

// Program is what a file of statements asks for.
type Program struct {
	Put    conf.Items
	Delete conf.Names
}

// Compile reads statements. The error is a *SyntaxError with the place of the
// first fault; whether the result makes sense as a whole, conf.Config.Validate
// tells.
func Compile(file, text string) (*Program, error) {
	sc, err := parser.ParseString(file, text)
	if err != nil {
		return nil, syntaxError(err, text)
	}
	p := &Program{}
	for _, st := range sc.Statements {
		if err := p.add(st); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// Append adds what another program asks for.
func (p *Program) Append(q *Program) {
	p.Put.Zones = append(p.Put.Zones, q.Put.Zones...)
	p.Put.Services = append(p.Put.Services, q.Put.Services...)
	p.Put.Classes = append(p.Put.Classes, q.Put.Classes...)
	p.Put.Teams = append(p.Put.Teams, q.Put.Teams...)
	p.Put.Events = append(p.Put.Events, q.Put.Events...)
	p.Put.Drains = append(p.Put.Drains, q.Put.Drains...)
	p.Delete.Zones = append(p.Delete.Zones, q.Delete.Zones...)
	p.Delete.Services = append(p.Delete.Services, q.Delete.Services...)
	p.Delete.Classes = append(p.Delete.Classes, q.Delete.Classes...)
	p.Delete.Teams = append(p.Delete.Teams, q.Delete.Teams...)
	p.Delete.Events = append(p.Delete.Events, q.Delete.Events...)
	p.Delete.Drains = append(p.Delete.Drains, q.Delete.Drains...)
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
		p.Put.Teams = append(p.Put.Teams, teamOf(st.Team))
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
		return conf.Event{}, at(d.Start.Pos, "%s is not a time such as '2026-12-02T08:00:00-05:00'", d.Start.Text)
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
		return 0, at(l.Pos, "%s is not a duration such as '500ms' or '5s'", l.Text)
	}
	return d, nil
}

// teamOf returns the team of a declaration.
func teamOf(d *teamDecl) conf.Team {
	t := conf.Team{Name: d.Name, Weight: d.Weight, Connections: d.Connections}
	for _, text := range d.Credentials {
		t.Credentials = append(t.Credentials, unquote(text))
	}
	return t
}
