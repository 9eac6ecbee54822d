package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/node/inspect/inspectpb"
)

// maxTeamsListed bounds what an operator is shown: a host may serve thousands of
// teams.
const maxTeamsListed = 20

// showTeams returns the busiest teams, and how many there are beside them.
func (h *Host) showTeams(now time.Duration) ([]*inspectpb.Team, int) {
	c := h.registry.Catalog()
	if c == nil || c.Teams.Len() == 0 {
		return nil, 0
	}
	byName := map[string]*inspectpb.Team{}
	of := func(name string) *inspectpb.Team {
		if byName[name] == nil {
			byName[name] = &inspectpb.Team{Name: name}
		}
		return byName[name]
	}
	for name, use := range h.limiter.UsageByTeam() {
		t := of(name)
		t.Admitted, t.Refused, t.Unconfirmed = uint64(use.Admitted), uint64(use.Refused), uint32(use.Unconfirmed)
	}
	for _, s := range h.allSets() {
		for _, m := range s.MemberStats(now) {
			for name, n := range m.ByTeam {
				of(name).Connections += uint32(n)
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
	more := max(len(out)-maxTeamsListed, 0)
	out = out[:len(out)-more]
	for _, t := range out {
		if team, found := c.Teams.Team(t.Name); found {
			t.Limited, t.Rate, t.Burst = team.Limit.Bounded, team.Limit.Rate, team.Limit.Burst
		}
		t.Counters = h.limiter.CountersOf(t.Name)
	}
	return out, more
}
