package soak

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/standin/linecaller"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

// The teams of a run. The checks' own sessions belong to one without a limit; the
// callers are dealt to the others in turn.
var (
	checksTeam  = lineplatform.Team{Name: "checks", Keys: []string{linecaller.DefaultKey}}
	callerTeams = []lineplatform.Team{
		{Name: "schools", Keys: []string{"key-schools"}},
		{Name: "clubs", Keys: []string{"key-clubs"}},
		// Three callers without a pause ask for several times as much.
		{Name: "colleges", Keys: []string{"key-colleges"}, Rate: 4, Burst: 4},
	}
	// leftTeam holds a key in the first version of the configuration only.
	leftTeam = lineplatform.Team{Name: "left", Keys: []string{"key-left"}}
)

// The tolerance of the teams' limits, as the platform's bounds say it.
const (
	quotaWindow = 5 * time.Second
	quotaShare  = 0.1
	quotaSlack  = 20
)

// teamsOf returns the teams that a version of the configuration declares.
func teamsOf(version int) []lineplatform.Team {
	teams := append([]lineplatform.Team{checksTeam}, callerTeams...)
	if version == 1 {
		teams = append(teams, leftTeam)
	}
	return teams
}

// admitsLeft reports whether a host opens a session for a key that was taken away.
func admitsLeft(h *process, version int) bool {
	session, err := linecaller.OpenWithKey(h.caller, only(version), leftTeam.Keys[0], "left", answerTimeout)
	if err != nil {
		return false
	}
	session.Close()
	return true
}

// checkTeams finds statements that ran in the name of another team than their
// caller's.
func (c *checker) checkTeams(r *request) {
	for _, run := range c.runsOf[r.ID] {
		if run.Team != r.team {
			c.found.add("%s ran in the name of %q, its caller is of %q", r.ID, run.Team, r.team)
		}
	}
}

// operation is when one operation of a team was sent, and when a member ran it.
type operation struct{ sent, ran time.Time }

// checkLimits finds windows in which more operations of a team were both sent and
// run than its limit and the tolerance allow.
func checkLimits(evidences []evidence, histories []history, found *findings) {
	for _, t := range callerTeams {
		if t.Rate == 0 {
			continue
		}
		allowed := (t.Rate*quotaWindow.Seconds()+t.Burst)*(1+quotaShare) + quotaSlack
		if n := busiestWindow(operationsOf(t.Name, evidences, histories)); float64(n) > allowed {
			found.add("team %s ran %d operations in a window, %.0f are allowed", t.Name, n, allowed)
		}
	}
}

// operationsOf returns the operations of a team that members ran: single statements,
// and transactions by their first.
func operationsOf(team string, evidences []evidence, histories []history) []operation {
	ran := map[string]time.Time{}
	for _, e := range evidences {
		for _, r := range e.runs {
			if _, again := ran[r.ID]; !again {
				ran[r.ID] = r.ExecutedAt
			}
		}
	}
	var out []operation
	counted := map[*transaction]bool{}
	for _, h := range histories {
		for _, r := range h.requests {
			at, found := ran[r.ID]
			if r.team != team || !found || (r.tx != nil && counted[r.tx]) {
				continue
			}
			if r.tx != nil {
				counted[r.tx] = true
			}
			out = append(out, operation{sent: r.sent, ran: at})
		}
	}
	return out
}

// busiestWindow returns the most operations that were sent and run in one window.
func busiestWindow(operations []operation) int {
	most := 0
	for _, first := range operations {
		n := 0
		for _, o := range operations {
			if !o.sent.Before(first.sent) && o.ran.Before(first.sent.Add(quotaWindow)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
