package platformdemo

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/dotterelswitch/dotterelswitch/standin/linecaller"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

const (
	answerTimeout = 2 * statementTime
	// pause is a caller's rest between operations, and after a refusal.
	pause = 10 * time.Millisecond
)

// runCaller writes items of its own and reads them back until the run ends.
func runCaller(ctx context.Context, n int, address string, group *lineplatform.Group, report *Report) {
	database := []string{"submissions", "alerts"}[n%2]
	team := teams()[n%len(teams())]
	for session := 0; ctx.Err() == nil; session++ {
		name := callerName(team, n, session)
		c, err := linecaller.OpenWithKey(address, database, team.Keys[0], name, answerTimeout)
		if err != nil {
			report.notOpened(team.Name, err)
			report.add(&report.Reconnects)
			time.Sleep(pause)
			continue
		}
		for item := 0; ctx.Err() == nil && operate(c, team.Name, fmt.Sprintf("%s-%d", name, item), group, report); item++ {
			time.Sleep(pause)
		}
		c.Close()
	}
}

// operate writes one item and reads it; it reports whether the session lives.
func operate(c *linecaller.Session, team, item string, group *lineplatform.Group, report *Report) bool {
	w, err := c.Run("STORE " + item + " " + item)
	if err != nil {
		return false
	}
	kept := group.CommitCount(w.ID)
	if kept > 1 {
		report.add(&report.Twice)
	}
	if linecaller.NoEffect(w.Code) && kept > 0 {
		report.add(&report.KeptThoughRefused)
	}
	report.count(team, w.Code)
	if w.Code != "" {
		return true
	}
	report.wrote(time.Now())
	term := group.Term()
	read, err := c.Run("FETCH " + item)
	if err != nil {
		return false
	}
	report.count(team, read.Code)
	// A promotion may roll back what was acknowledged without confirmation.
	if read.Code == "" && read.Rows[0] != item && group.Term() == term && group.LastCommit(w.ID).Term == term {
		report.add(&report.LostOwnWrite)
	}
	return true
}

// unauthorized is the code for a key that no team holds.
const unauthorized = "UNAUTH"

// notOpened notes a session that was not opened.
func (r *Report) notOpened(team string, err error) {
	var refused *linecaller.RefusedError
	if errors.As(err, &refused) && refused.Code() == unauthorized {
		r.add(&r.Teams[team].Unauthorized)
	}
}

// count notes how a statement of a team ended.
func (r *Report) count(team, code string) {
	switch {
	case code == "":
		r.add(&r.Served)
		r.add(&r.Teams[team].Served)
	case linecaller.NoEffect(code):
		r.add(&r.Refused)
		r.add(&r.Teams[team].Refused)
	case code == unauthorized:
		r.add(&r.Teams[team].Unauthorized)
	case code == "INDOUBT":
		r.add(&r.InDoubt)
	default:
		r.add(&r.Failed)
	}
}
