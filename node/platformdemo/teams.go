package platformdemo

import (
	"fmt"
	"strings"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/quota"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

// tolerance is how far a team may exceed its limit.
var tolerance = quota.Tolerance{Window: 2 * time.Second, Share: 0.1, Operations: 10}

// teams returns the teams of a run, to which callers are assigned round-robin. The
// callers' rate keeps the colleges above their limit.
func teams() []lineplatform.Team {
	return []lineplatform.Team{
		{Name: "schools", Keys: []string{"key-schools"}},
		{Name: "clubs", Keys: []string{"key-clubs"}, Rate: 2000, Burst: 2000},
		{Name: "colleges", Keys: []string{"key-colleges"}, Rate: 20, Burst: 20},
	}
}

// teamsWithRevokedKey returns the teams without the clubs' key.
func teamsWithRevokedKey() []lineplatform.Team {
	changed := teams()
	changed[1].Keys = nil
	return changed
}

// teamsWithLoweredLimit returns the teams with the clubs' limit far below their
// request rate.
func teamsWithLoweredLimit() []lineplatform.Team {
	changed := teams()
	changed[1].Rate, changed[1].Burst = 10, 10
	return changed
}

// TeamReport is what the callers of one team observed.
type TeamReport struct {
	Served  int `json:"served"`
	Refused int `json:"refused"`
	// Unauthorized counts statements and sessions refused because of the key.
	Unauthorized int `json:"unauthorized"`
	// BusiestWindow is the largest number of the team's statements that members ran
	// within one window of the tolerance.
	BusiestWindow int `json:"busiest_window"`
}

// callerName returns a session name that begins with the team, so that checkTeams
// can attribute the statements that members ran.
func callerName(team lineplatform.Team, n, session int) string {
	return fmt.Sprintf("%s/c%d-%d", team.Name, n, session)
}

// checkTeams compares the teams of the statements that members ran with the
// callers' teams.
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
		r.Teams[team].BusiestWindow = maxInWindow(at, tolerance.Window)
	}
}

// maxInWindow returns the largest number of times within one window. The times
// must be sorted.
func maxInWindow(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
