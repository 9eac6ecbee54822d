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
	answerTimeout = 2 * statementTimeout
	// thinkTime is a caller's pause between operations and after a refused login.
	thinkTime = 10 * time.Millisecond
)

// runCaller writes items and reads them back until the context is cancelled.
func runCaller(ctx context.Context, n int, address string, group *lineplatform.Group, report *Report) {
	database := []string{"submissions", "alerts"}[n%2]
	team := teams()[n%len(teams())]
	for session := 0; ctx.Err() == nil; session++ {
		name := callerName(team, n, session)
		c, err := linecaller.OpenWithKey(address, database, team.Keys[0], name, answerTimeout)
		if err != nil {
			report.countOpenFailure(team.Name, err)
			report.increment(&report.Reconnects)
			time.Sleep(thinkTime)
			continue
		}
		for item := 0; ctx.Err() == nil && writeAndReadBack(c, team.Name, fmt.Sprintf("%s-%d", name, item), group, report); item++ {
			time.Sleep(thinkTime)
		}
		c.Close()
	}
}

// writeAndReadBack writes one item and reads it. It reports whether the session is
// still usable.
func writeAndReadBack(c *linecaller.Session, team, item string, group *lineplatform.Group, report *Report) bool {
	w, err := c.Run("STORE " + item + " " + item)
	if err != nil {
		return false
	}
	commits := group.CommitCount(w.ID)
	if commits > 1 {
		report.increment(&report.CommittedTwice)
	}
	if linecaller.NoEffect(w.Code) && commits > 0 {
		report.increment(&report.CommittedThoughRefused)
	}
	report.countResult(team, w.Code)
	if w.Code != "" {
		return true
	}
	report.recordWrite(time.Now())
	term := group.Term()
	read, err := c.Run("FETCH " + item)
	if err != nil {
		return false
	}
	report.countResult(team, read.Code)
	// A promotion may roll back a write that was acknowledged before replicas had it,
	// so only reads in the term of the write are checked.
	if read.Code == "" && read.Rows[0] != item && group.Term() == term && group.LastCommit(w.ID).Term == term {
		report.increment(&report.OwnWriteNotSeen)
	}
	return true
}

// unauthorized is the code of refusals for an unknown key.
const unauthorized = "UNAUTH"

// countOpenFailure counts a failure to open a session, if the key was refused.
func (r *Report) countOpenFailure(team string, err error) {
	var refused *linecaller.RefusedError
	if errors.As(err, &refused) && refused.Code() == unauthorized {
		r.increment(&r.Teams[team].Unauthorized)
	}
}

// countResult counts the result of a statement of a team.
func (r *Report) countResult(team, code string) {
	switch {
	case code == "":
		r.increment(&r.Served)
		r.increment(&r.Teams[team].Served)
	case linecaller.NoEffect(code):
		r.increment(&r.Refused)
		r.increment(&r.Teams[team].Refused)
	case code == unauthorized:
		r.increment(&r.Teams[team].Unauthorized)
	case code == "INDOUBT":
		r.increment(&r.InDoubt)
	default:
		r.increment(&r.Failed)
	}
}
