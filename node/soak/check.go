package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/dotterelswitch/dotterelswitch/standin/answerproxy"
	"github.com/dotterelswitch/dotterelswitch/standin/linecaller"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

// groupRecord is what the members of a group executed and committed.
type groupRecord struct {
	runs []lineplatform.Execution
	// termStarts are the positions of the promotions, as in lineplatform.Group.TermStarts.
	termStarts []lineplatform.Position
	// commitCount returns how often the write of a request was committed, and
	// commitPosition at which position.
	commitCount    func(id string) int
	commitPosition func(id string) lineplatform.Position
}

// checker compares what callers observed with what the members executed.
type checker struct {
	groupRecord
	findings      *findings
	runsByRequest map[string][]lineplatform.Execution
}

// check adds a finding for every violated guarantee.
func check(record groupRecord, histories []history, found *findings) {
	c := &checker{groupRecord: record, findings: found, runsByRequest: map[string][]lineplatform.Execution{}}
	for _, run := range record.runs {
		c.runsByRequest[run.ID] = append(c.runsByRequest[run.ID], run)
	}
	requests := map[string]*request{}
	var acks []ackedCommit
	for _, h := range histories {
		acks = append(acks, h.commits...)
		for _, r := range h.requests {
			requests[r.ID] = r
		}
		for _, q := range h.controls {
			c.checkControl(q)
		}
	}
	acked := newAckedCommits(acks, record)
	for _, r := range requests {
		c.checkRuns(r)
		c.checkTeams(r)
		c.checkAnswer(r)
		c.checkCommitted(r)
		if r.verb == read && r.ok() {
			c.checkFreshness(r, acked)
		}
	}
	for _, a := range acks {
		if c.commitCount(a.requestID) != 1 {
			found.add("%s was acknowledged and kept %d times", a.requestID, c.commitCount(a.requestID))
		}
	}
	c.checkTransactions(requests)
}

// checkRuns compares the executions of a request with what its caller sent.
func (c *checker) checkRuns(r *request) {
	for _, run := range c.runsByRequest[r.ID] {
		if !sameStatement(r.text, run.Text) {
			c.findings.add("%s ran as %q, sent was %q", r.ID, run.Text, r.text)
		}
		if run.SessionValues != r.sessionValues && r.verb != commit {
			c.findings.add("%s ran with the values %q, acknowledged were %q", r.ID, run.SessionValues, r.sessionValues)
		}
		if run.Shape != r.preparedShape {
			c.findings.add("%s ran as prepared %q, its caller prepared %q", r.ID, run.Shape, r.preparedShape)
		}
	}
}

// sameStatement reports whether a statement that a member received is the one that was sent.
func sameStatement(sent, received string) bool {
	const execute = "EXECUTE "
	return sent == received || strings.HasPrefix(sent, execute) && strings.HasPrefix(received, execute) &&
		afterStatementName(sent) == afterStatementName(received)
}

// checkMessages finds messages to members that no caller sent.
func checkMessages(messages []answerproxy.Message, histories []history, found *findings) {
	sent := map[string]string{}
	for _, h := range histories {
		for _, r := range h.requests {
			sent[r.ID] = r.text
		}
		for _, q := range h.controls {
			if !q.malformed {
				sent[q.ID] = q.text
			}
		}
	}
	for _, m := range messages {
		if strings.HasPrefix(m.ID, serviceCheckPrefix) && m.Text == serviceCheckText {
			continue
		}
		if text, asked := sent[m.ID]; !asked || !sameStatement(text, m.Text) {
			found.add("%s got %q as %q, which no caller sent", m.Member, m.Text, m.ID)
		}
	}
}

// checkControl checks the answer to a statement that needs no member.
func (c *checker) checkControl(q control) {
	switch {
	case q.unanswered:
	case q.Defect != "":
		c.findings.add("the answer to %s has a misplaced %q", q.ID, q.Defect)
	case q.malformed && (q.Code != "MALFORMED" || len(q.Rows) > 0 || (q.State != "I") != q.inTx):
		c.findings.add("%s %q is malformed and was answered with %q %q %q in state %s", q.ID, q.text, q.Code, q.Signature, q.Rows, q.State)
	case q.Code == "" && (q.Signature != "-" || len(q.Rows) > 0):
		c.findings.add("%s %q succeeded with signature %q and rows %q", q.ID, q.text, q.Signature, q.Rows)
	}
}

// afterStatementName returns the text of an execution without the name of the
// prepared statement, which hosts may rename.
func afterStatementName(text string) string {
	_, rest, _ := strings.Cut(text, " ")
	_, rest, _ = strings.Cut(rest, " ")
	return rest
}

// checkAnswer checks that a successful answer was given by a member.
func (c *checker) checkAnswer(r *request) {
	if !r.unanswered && r.Defect != "" {
		c.findings.add("the answer to %s has a misplaced %q", r.ID, r.Defect)
	}
	if !r.ok() {
		return
	}
	for _, run := range c.runsByRequest[r.ID] {
		rows := []string{run.Row}
		if r.verb != read {
			rows = nil
		}
		if r.Signature == fmt.Sprintf("sig-%s-%s", run.Member, r.ID) && slices.Equal(rows, r.Rows) {
			return
		}
	}
	c.findings.add("%s succeeded with signature %q and rows %q, which no member gave", r.ID, r.Signature, r.Rows)
}

// checkCommitted compares the result that a caller received for a write with what
// was committed.
func (c *checker) checkCommitted(r *request) {
	if r.verb != write {
		return
	}
	n := c.commitCount(r.ID)
	switch {
	case n > 1:
		c.findings.add("%s was kept %d times", r.ID, n)
	case n == 1 && r.tx == nil && !r.unanswered && linecaller.NoEffect(r.Code):
		c.findings.add("%s was kept though it was refused with %s", r.ID, r.Code)
	case n == 1 && r.tx != nil && r.tx.result == notCommitted:
		c.findings.add("%s was kept though its transaction was not", r.ID)
	case n == 0 && r.tx != nil && r.tx.result == committed:
		c.findings.add("%s was not kept though its transaction was acknowledged", r.ID)
	}
}

// checkTransactions finds statements that ran in another caller's transaction, or
// outside of their own.
func (c *checker) checkTransactions(requests map[string]*request) {
	firstInTx := map[uint64]*request{}
	for _, run := range c.runs {
		r, found := requests[run.ID]
		if strings.HasPrefix(run.ID, serviceCheckPrefix) {
			continue
		}
		if !found {
			c.findings.add("%s ran, which no caller sent", run.ID)
			continue
		}
		if run.TxID == 0 {
			if r.tx != nil {
				c.findings.add("%s ran outside of its transaction", run.ID)
			}
			continue
		}
		first, used := firstInTx[run.TxID]
		if !used {
			firstInTx[run.TxID] = r
			continue
		}
		if first.tx != r.tx || (r.tx == nil && first != r) {
			c.findings.add("%s and %s ran in one transaction", first.ID, run.ID)
		}
	}
}

// checkFreshness finds reads from a log that lacked a commit they had to include.
func (c *checker) checkFreshness(r *request, acked *ackedCommits) {
	minimum := acked.latestBefore(r.startTime().Add(-maxStaleness[r.database]))
	if r.database == readYourWritesDatabase {
		minimum = laterOf(minimum, acked.latestOfSession(r.session, r.startTime()))
	}
	for _, run := range c.runsByRequest[r.ID] {
		if run.Member != signingMember(r.Signature, r.ID) {
			continue
		}
		if isBefore(mustParsePosition(run.Position), minimum) {
			c.findings.add("%s in %s read at %s on %s, which lacks %s", r.ID, r.database, run.Position, run.Member, minimum)
		}
	}
}

// signingMember returns the member that signed an answer.
func signingMember(signature, id string) string {
	return strings.TrimSuffix(strings.TrimPrefix(signature, "sig-"), "-"+id)
}

func mustParsePosition(position string) lineplatform.Position {
	p, err := lineplatform.ParsePosition(position)
	if err != nil {
		// Positions come from the stand-in, not from callers.
		panic("soak: invalid position " + position)
	}
	return p
}

func isBefore(a, b lineplatform.Position) bool {
	return a.Term < b.Term || (a.Term == b.Term && a.Offset < b.Offset)
}

func laterOf(a, b lineplatform.Position) lineplatform.Position {
	if isBefore(a, b) {
		return b
	}
	return a
}

// ackedCommits determines which commits a read must include.
type ackedCommits struct {
	// commits are in the order of acknowledgement, without those that a promotion
	// rolled back.
	commits []positionedCommit
}

type positionedCommit struct {
	ackedCommit
	position lineplatform.Position
	// maxPosition is the latest position among this and the earlier commits.
	maxPosition lineplatform.Position
}

func newAckedCommits(acks []ackedCommit, record groupRecord) *ackedCommits {
	acked := &ackedCommits{}
	for _, a := range acks {
		if p := record.commitPosition(a.requestID); !record.rolledBack(p) {
			acked.commits = append(acked.commits, positionedCommit{ackedCommit: a, position: p})
		}
	}
	slices.SortFunc(acked.commits, func(a, b positionedCommit) int { return a.at.Compare(b.at) })
	var maxPosition lineplatform.Position
	for i := range acked.commits {
		maxPosition = laterOf(maxPosition, acked.commits[i].position)
		acked.commits[i].maxPosition = maxPosition
	}
	return acked
}

// rolledBack reports whether a promotion discarded a position.
func (record groupRecord) rolledBack(p lineplatform.Position) bool {
	return slices.ContainsFunc(record.termStarts, func(s lineplatform.Position) bool {
		return s.Term > p.Term && p.Offset > s.Offset
	})
}

// latestBefore returns the latest position acknowledged before a time.
func (c *ackedCommits) latestBefore(t time.Time) lineplatform.Position {
	n, _ := slices.BinarySearchFunc(c.commits, t, func(a positionedCommit, t time.Time) int { return a.at.Compare(t) })
	if n == 0 {
		return lineplatform.Position{}
	}
	return c.commits[n-1].maxPosition
}

// latestOfSession returns the latest position that a session committed before a
// time.
func (c *ackedCommits) latestOfSession(session string, t time.Time) lineplatform.Position {
	var out lineplatform.Position
	for _, a := range c.commits {
		if a.session == session && a.at.Before(t) {
			out = laterOf(out, a.position)
		}
	}
	return out
}
