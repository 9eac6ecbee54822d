package platformdemo

import (
	"fmt"
	"strings"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/quota"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

// tolerance is by how much a team may be over its limit.
var tolerance = quota.Tolerance{Window: 2 * time.Second, Share: 0.1, Operations: 10}

// The teams of a run. Callers are dealt to them in turn; each runs its operations
// without much of a pause, so that the colleges are over their limit all the time.
func teams() []lineplatform.Team {
	return []lineplatform.Team{
		{Name: "schools", Keys: []string{"key-schools"}},
		{Name: "clubs", Keys: []string{"key-clubs"}, Rate: 2000, Burst: 2000},
		{Name: "colleges", Keys: []string{"key-colleges"}, Rate: 20, Burst: 20},
	}
}

// withoutKey returns the teams after the clubs' key was taken away.
func withoutKey() []lineplatform.Team {
	left := teams()
	left[1].Keys = nil
	return left
}

// lowered returns the teams after the clubs' limit was lowered far below what they
// ask for.
func lowered() []lineplatform.Team {
	changed := teams()
	changed[1].Rate, changed[1].Burst = 10, 10
	return changed
}

// TeamReport is what the callers of one team saw.
type TeamReport struct {
	Served  int `json:"served"`
	Refused int `json:"refused"`
	// Unauthorized counts statements and sessions refused for the key.
	Unauthorized int `json:"unauthorized"`
	// Busiest is the most operations that its members ran in one window of the
	// tolerance.
	Busiest int `json:"busiest_window"`
}

// callerName names a session so that what its members ran can be told by team.
func callerName(team lineplatform.Team, n, session int) string {
	return fmt.Sprintf("%s/c%d-%d", team.Name, n, session)
}

// checkTeams holds what the members ran against the callers' teams.
func (r *Report) checkTeams(runs []lineplatform.Execution) {
	times := map[string][]time.Time{}
	for _, run := range runs {
		team, _, _ := strings.Cut(run.ID, "/")
		if run.Team != team {
			r.WrongTeam++
		}
		times[team] = append(times[team], run.ExecutedAt)
	}
	for team, at := range times {
		r.Teams[team].Busiest = busiest(at, tolerance.Window)
	}
}

// busiest returns the most times that lie in one window. The times rise.
func busiest(times []time.Time, window time.Duration) int {
	most, from := 0, 0
	for i, at := range times {
		for at.Sub(times[from]) >= window {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}
