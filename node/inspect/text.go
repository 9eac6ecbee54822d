package inspect

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/dotterelswitch/dotterelswitch/node/inspect/inspectpb"
)

// WriteText writes a host's state as text for a terminal.
func WriteText(w io.Writer, s *inspectpb.ShowResponse) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	p := &printer{w: t}
	p.printf("host %s in zone %s: %s\n", s.Host, s.Zone, readiness(s.Ready))
	p.printf("sessions %d of %d, jobs of other hosts %d\n", s.Sessions, s.MaxSessions, s.Jobs)
	p.configuration(s.GetConfiguration())
	p.store(s.GetStore())
	p.printf("keeps %d of %d services\n", len(s.Services), s.KnownServices)
	for _, service := range s.Services {
		p.service(service)
	}
	p.teams(s)
	if p.err != nil {
		return p.err
	}
	return t.Flush()
}

func readiness(ready bool) string {
	if ready {
		return "ready"
	}
	return "not ready"
}

// printer keeps the first write error, so that callers need not check each line.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

func (p *printer) configuration(c *inspectpb.Configuration) {
	p.printf("configuration %d with %d routes", c.GetVersion(), c.GetRoutes())
	if c.GetTeams() > 0 {
		p.printf(" and %d teams", c.GetTeams())
	}
	p.printf("\n")
}

func (p *printer) store(s *inspectpb.Store) {
	reached := "reached"
	if s.GetAway() {
		reached = "AWAY"
	}
	path := "through " + orNone(s.GetRelay())
	if s.GetDirect() {
		path = "directly"
	}
	p.printf("store %s %s, heard %d ms ago, epoch %d, revision %d; hosts %d, followers %d\n",
		reached, path, s.GetHeardMsAgo(), s.GetEpoch(), s.GetRevision(), s.GetHosts(), s.GetFollowers())
	p.printf("copy of the store: %s, %d keys%s\n", orNone(s.GetPhase()), s.GetKeys(), relayText(s.GetMayRelay()))
}

func relayText(mayRelay bool) string {
	if mayRelay {
		return ", other hosts of the zone may follow"
	}
	return ""
}

func (p *printer) service(s *inspectpb.Service) {
	p.printf("\nservice %s: primary %s, term %d, %s, %s\n", s.Name, orNone(s.Primary), s.Term, floorText(s), lockText(s.GetLock()))
	if s.Withheld != "" {
		// A line without columns, so that the table keeps its own widths.
		p.printf("  promotion withheld: %s\n", s.Withheld)
	}
	p.printf("  UPSTREAM\tZONE\tSLOTS\tOPEN\tIN USE\tWAITING\tELSEWHERE\tSTATE\tLOG\tTHROUGH\n")
	for _, u := range s.Upstreams {
		p.printf("  %s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n",
			u.Name, u.Zone, u.Slots, u.Connections, u.InUse, u.Waiting, u.Elsewhere, upstreamState(u), logText(u), orNone(strings.Join(u.Gates, " ")))
	}
	p.queues(s.Upstreams)
	p.gateLoads(s)
}

// queues writes the statements that wait, by team and priority.
func (p *printer) queues(upstreams []*inspectpb.Upstream) {
	if !slices.ContainsFunc(upstreams, func(u *inspectpb.Upstream) bool { return len(u.Queues) > 0 }) {
		return
	}
	p.printf("  WAITING FOR\tTEAM\tPRIORITY\tSTATEMENTS\n")
	for _, u := range upstreams {
		for _, q := range u.Queues {
			p.printf("  %s\t%s\t%d\t%d\n", u.Name, orNone(q.Team), q.Priority, q.Waiting)
		}
	}
}

// gateLoads prints what the upstreams' gates have reported lately.
func (p *printer) gateLoads(s *inspectpb.Service) {
	headed := false
	for _, u := range s.Upstreams {
		for _, l := range u.GateLoads {
			if !headed {
				// A line without columns, so that the table keeps its own widths.
				p.printf("  loads that gates reported\n")
				p.printf("  UPSTREAM\tBY\tRUNNING\tOF\tWAITING\tAGE\n")
				headed = true
			}
			p.printf("  %s\t%s\t%d\t%d\t%d\t%d ms\n", u.Name, l.Gate, l.Running, l.Capacity, l.Waiting, l.MsAgo)
		}
	}
}

func (p *printer) teams(s *inspectpb.ShowResponse) {
	if len(s.Teams) == 0 {
		return
	}
	p.printf("\nteams, the busiest first\n")
	p.printf("  TEAM\tLIMIT\tADMITTED\tREFUSED\tNOT GRANTED\tCONNECTIONS\tCOUNTED BY\n")
	for _, t := range s.Teams {
		p.printf("  %s\t%s\t%d\t%d\t%d\t%d\t%s\n",
			t.Name, limitText(t), t.Admitted, t.Refused, t.Unconfirmed, t.Connections, orNone(strings.Join(t.Counters, " ")))
	}
	if s.MoreTeams > 0 {
		p.printf("  and %d more\n", s.MoreTeams)
	}
}

func limitText(t *inspectpb.Team) string {
	if !t.Limited {
		return "none"
	}
	return fmt.Sprintf("%g/s + %g", t.Rate, t.Burst)
}

func floorText(s *inspectpb.Service) string {
	if s.Floor == nil {
		return "no floor"
	}
	return fmt.Sprintf("floor %d/%d of %d ms ago", s.Floor.Term, s.Floor.Offset, s.FloorMsAgo)
}

func lockText(l *inspectpb.Lock) string {
	if l.GetHolder() == "" {
		return "lock free"
	}
	if l.GetActing() {
		return fmt.Sprintf("lock %d held by %s, which promotes", l.GetToken(), l.GetHolder())
	}
	return fmt.Sprintf("lock %d held by %s", l.GetToken(), l.GetHolder())
}

func upstreamState(u *inspectpb.Upstream) string {
	var words []string
	for _, w := range []struct {
		is   bool
		word string
	}{{u.Dead, "dead"}, {u.Failing && !u.Dead, "failing"}, {u.Leaving, "leaving"}} {
		if w.is {
			words = append(words, w.word)
		}
	}
	if u.Ejection != "" {
		words = append(words, fmt.Sprintf("ejected as %s for %d ms", u.Ejection, u.EjectionMsLeft))
	}
	if len(words) == 0 {
		return "ok"
	}
	return strings.Join(words, " ")
}

func logText(u *inspectpb.Upstream) string {
	if u.Held == nil {
		return "-"
	}
	return fmt.Sprintf("%d/%d %d ms ago", u.Held.Term, u.Held.Offset, u.HeldMsAgo)
}

func orNone(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
