package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/standin/linecaller"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

// readRunAs returns a read of one team, and the member's record of running it as
// another team.
func readRunAs(id, team, runTeam string, at time.Time, tx *transaction) (*request, lineplatform.Execution) {
	r := &request{Answer: linecaller.Answer{ID: id}, verb: read, text: "FETCH a", team: team, sentAt: at, tx: tx}
	return r, lineplatform.Execution{ID: id, Text: "FETCH a", Team: runTeam, ExecutedAt: at}
}

func TestWrongTeamIsFound(t *testing.T) {
	for runTeam, want := range map[string]int{"schools": 0, "clubs": 1, "key-schools": 1} {
		var found findings
		r, run := readRunAs("r1", "schools", runTeam, time.Now(), nil)
		c := &checker{findings: &found, runsByRequest: map[string][]lineplatform.Execution{"r1": {run}}}
		c.checkTeams(r)
		require.Len(t, found.all(), want, runTeam)
	}
}

// Evenly spaced operations, as many in a window as are allowed or one more. All
// statements of a transaction count as one operation.
func TestExceededLimitIsFound(t *testing.T) {
	const allowed = 46
	for count, want := range map[int]int{allowed: 0, allowed + 1: 1} {
		var h history
		var record groupRecord
		for i := range count {
			at := time.Unix(100, 0).Add(time.Duration(i) * quotaWindow / 100)
			tx := &transaction{}
			for statement := range 3 {
				r, run := readRunAs(fmt.Sprint("r", i, "-", statement), "colleges", "colleges", at, tx)
				h.requests, record.runs = append(h.requests, r), append(record.runs, run)
			}
		}
		var found findings
		checkLimits([]groupRecord{record}, []history{h}, &found)
		require.Len(t, found.all(), want, "%d operations", count)
	}
}
