package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/node/inspect/inspectpb"
)

// maxTeamsListed bounds the teams in a response, as a host may serve thousands.
const maxTeamsListed = 20

// showTeams returns the busiest teams and the number of omitted ones.
func (h *Host) showTeams(now time.Duration) ([]*inspectpb.Team, int) {
	c := h.registry.Catalog()
	if c == nil || c.Teams.Len() == 0 {
		return nil, 0
	}
	byName := map[string]*inspectpb.Team{}
	teamOf := func(name string) *inspectpb.Team {
		if byName[name] == nil {
			byName[name] = &inspectpb.Team{Name: name}
		}
		return byName[name]
	}
	for name, usage := range h.limiter.UsageByTeam() {
		t := teamOf(name)
		t.Admitted, t.Refused, t.Unconfirmed = uint64(usage.Admitted), uint64(usage.Refused), uint32(usage.Unconfirmed)
	}
	for _, s := range h.allSets() {
		for _, m := range s.MemberStats(now) {
			for name, n := range m.ByTeam {
				teamOf(name).Connections += uint32(n)
			}
		}
	}
	delete(byName, "")
	out := make([]*inspectpb.Team, 0, len(byName))
	for _, t := range byName {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b *inspectpb.Team) int {
		return cmp.Or(cmp.Compare(b.Admitted+b.Refused, a.Admitted+a.Refused), cmp.Compare(b.Connections, a.Connections), cmp.Compare(a.Name, b.Name))
	})
	omitted := max(len(out)-maxTeamsListed, 0)
	out = out[:len(out)-omitted]
	for _, t := range out {
		if team, found := c.Teams.Team(t.Name); found {
			t.Limited, t.Rate, t.Burst = team.Limit.Bounded, team.Limit.Rate, team.Limit.Burst
		}
		t.Counters = h.limiter.CountersOf(t.Name)
	}
	return out, omitted
}
