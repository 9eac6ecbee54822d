package soak

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/standin/linecaller"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

// The teams of a run. The checks' own sessions belong to a team without a limit;
// callers are assigned to the others round-robin.
var (
	checksTeam  = lineplatform.Team{Name: "checks", Keys: []string{linecaller.DefaultKey}}
	callerTeams = []lineplatform.Team{
		{Name: "schools", Keys: []string{"key-schools"}},
		{Name: "clubs", Keys: []string{"key-clubs"}},
		// The callers of this team exceed its limit several times over.
		{Name: "colleges", Keys: []string{"key-colleges"}, Rate: 4, Burst: 4},
	}
	// removedTeam has a key only in the first version of the configuration.
	removedTeam = lineplatform.Team{Name: "left", Keys: []string{"key-left"}}
)

// The tolerance of the teams' limits that the platform configures.
const (
	quotaWindow = 5 * time.Second
	quotaShare  = 0.1
	quotaSlack  = 20
)

// teamsOf returns the teams that a version of the configuration declares.
func teamsOf(version int) []lineplatform.Team {
	teams := append([]lineplatform.Team{checksTeam}, callerTeams...)
	if version == 1 {
		teams = append(teams, removedTeam)
	}
	return teams
}

// admitsRemovedKey reports whether a host opens a session for a key that was
// removed.
func admitsRemovedKey(h *hostProcess, version int) bool {
	session, err := linecaller.OpenWithKey(h.callerAddress, versionDatabase(version), removedTeam.Keys[0], "left", answerTimeout)
	if err != nil {
		return false
	}
	session.Close()
	return true
}

// checkTeams finds statements that ran as another team than their caller's.
func (c *checker) checkTeams(r *request) {
	for _, run := range c.runsByRequest[r.ID] {
		if run.Team != r.team {
			c.findings.add("%s ran in the name of %q, its caller is of %q", r.ID, run.Team, r.team)
		}
	}
}

// operation holds when an operation was sent and when a member ran it.
type operation struct{ sentAt, ranAt time.Time }

// checkLimits finds teams for which more operations were both sent and run within
// one window than the limit and its tolerance allow.
func checkLimits(records []groupRecord, histories []history, found *findings) {
	for _, t := range callerTeams {
		if t.Rate == 0 {
			continue
		}
		allowed := (t.Rate*quotaWindow.Seconds()+t.Burst)*(1+quotaShare) + quotaSlack
		if n := maxOperationsInWindow(operationsOf(t.Name, records, histories)); float64(n) > allowed {
			found.add("team %s ran %d operations in a window, %.0f are allowed", t.Name, n, allowed)
		}
	}
}

// operationsOf returns the operations of a team that members ran. A transaction is
// one operation, counted at its first statement.
func operationsOf(team string, records []groupRecord, histories []history) []operation {
	ran := map[string]time.Time{}
	for _, record := range records {
		for _, r := range record.runs {
			if _, recorded := ran[r.ID]; !recorded {
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
			out = append(out, operation{sentAt: r.sentAt, ranAt: at})
		}
	}
	return out
}

// maxOperationsInWindow returns the largest number of operations that were both
// sent and run within one window.
func maxOperationsInWindow(operations []operation) int {
	most := 0
	for _, first := range operations {
		n := 0
		for _, o := range operations {
			if !o.sentAt.Before(first.sentAt) && o.ranAt.Before(first.sentAt.Add(quotaWindow)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
