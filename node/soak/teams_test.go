package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/standin/linecaller"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

// ranAs returns a read of a team that a member ran in the name of another, and what
// the member recorded.
func ranAs(id, team, ran string, at time.Time, tx *transaction) (*request, lineplatform.Execution) {
	r := &request{Answer: linecaller.Answer{ID: id}, verb: read, text: "FETCH a", team: team, sent: at, tx: tx}
	return r, lineplatform.Execution{ID: id, Text: "FETCH a", Team: ran, ExecutedAt: at}
}

func TestWrongTeamIsNoticed(t *testing.T) {
	for ran, want := range map[string]int{"schools": 0, "clubs": 1, "key-schools": 1} {
		var found findings
		r, run := ranAs("r1", "schools", ran, time.Now(), nil)
		c := &checker{found: &found, runsOf: map[string][]lineplatform.Execution{"r1": {run}}}
		c.checkTeams(r)
		require.Len(t, found.all(), want, ran)
	}
}

// TestExceededLimitIsNoticed: operations at an even pace, of which a window holds as
// many as are allowed, or one more. The statements of a transaction are one operation.
func TestExceededLimitIsNoticed(t *testing.T) {
	const allowed = 46
	for count, want := range map[int]int{allowed: 0, allowed + 1: 1} {
		var h history
		var e evidence
		for i := range count {
			at := time.Unix(100, 0).Add(time.Duration(i) * quotaWindow / 100)
			tx := &transaction{}
			for statement := range 3 {
				r, run := ranAs(fmt.Sprint("r", i, "-", statement), "colleges", "colleges", at, tx)
				h.requests, e.runs = append(h.requests, r), append(e.runs, run)
			}
		}
		var found findings
		checkLimits([]evidence{e}, []history{h}, &found)
		require.Len(t, found.all(), want, "%d operations", count)
	}
}
