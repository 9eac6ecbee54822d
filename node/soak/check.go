package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/dotterelswitch/dotterelswitch/standin/linecaller"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

// evidence is what the members ran and kept.
type evidence struct {
	runs []lineplatform.Execution
	// starts are the promotions, as in lineplatform.Group.TermStarts.
	starts []lineplatform.Position
	// committed is how often a request's write was kept, commit where.
	committed func(id string) int
	commit    func(id string) lineplatform.Position
}

// checker holds what callers saw against the evidence.
type checker struct {
	evidence
	found *findings
	// runsOf finds the runs of a request.
	runsOf map[string][]lineplatform.Execution
}

// check reports every promise that was broken.
func check(e evidence, histories []history, found *findings) {
	c := &checker{evidence: e, found: found, runsOf: map[string][]lineplatform.Execution{}}
	for _, run := range e.runs {
		c.runsOf[run.ID] = append(c.runsOf[run.ID], run)
	}
	known := map[string]*request{}
	var acks []acknowledged
	for _, h := range histories {
		acks = append(acks, h.commits...)
		for _, r := range h.requests {
			known[r.ID] = r
		}
	}
	required := newRequirement(acks, e)
	for _, r := range known {
		c.checkRuns(r)
		c.checkTeams(r)
		c.checkAnswer(r)
		c.checkKept(r)
		if r.verb == read && r.ok() {
			c.checkFresh(r, required)
		}
	}
	for _, a := range acks {
		if c.committed(a.id) != 1 {
			found.add("%s was acknowledged and kept %d times", a.id, c.committed(a.id))
		}
	}
	c.checkTransactions(known)
}

// checkRuns holds the runs of a request against what its caller sent.
func (c *checker) checkRuns(r *request) {
	for _, run := range c.runsOf[r.ID] {
		if run.Text != r.text && (r.shape == "" || afterName(run.Text) != afterName(r.text)) {
			c.found.add("%s ran as %q, sent was %q", r.ID, run.Text, r.text)
		}
		if run.SessionValues != r.values && r.verb != commit {
			c.found.add("%s ran with the values %q, acknowledged were %q", r.ID, run.SessionValues, r.values)
		}
		if run.Shape != r.shape {
			c.found.add("%s ran as prepared %q, its caller prepared %q", r.ID, run.Shape, r.shape)
		}
	}
}

// afterName cuts the prepared name, which the system may change, off the text
// of an execution.
func afterName(text string) string {
	_, rest, _ := strings.Cut(text, " ")
	_, rest, _ = strings.Cut(rest, " ")
	return rest
}

// checkAnswer holds a success against the run that it must come from.
func (c *checker) checkAnswer(r *request) {
	if !r.ok() {
		return
	}
	for _, run := range c.runsOf[r.ID] {
		rows := []string{run.Row}
		if r.verb != read {
			rows = nil
		}
		if r.Signature == fmt.Sprintf("sig-%s-%s", run.Member, r.ID) && slices.Equal(rows, r.Rows) {
			return
		}
	}
	c.found.add("%s succeeded with signature %q and rows %q, which no member gave", r.ID, r.Signature, r.Rows)
}

// checkKept holds what a caller was told of a write against what was kept.
func (c *checker) checkKept(r *request) {
	if r.verb != write {
		return
	}
	n := c.committed(r.ID)
	switch {
	case n > 1:
		c.found.add("%s was kept %d times", r.ID, n)
	case n == 1 && r.tx == nil && !r.lost && linecaller.NoEffect(r.Code):
		c.found.add("%s was kept though it was refused with %s", r.ID, r.Code)
	case n == 1 && r.tx != nil && r.tx.outcome == notKept:
		c.found.add("%s was kept though its transaction was not", r.ID)
	case n == 0 && r.tx != nil && r.tx.outcome == kept:
		c.found.add("%s was not kept though its transaction was acknowledged", r.ID)
	}
}

// checkTransactions finds statements that ran in a transaction that is not
// their caller's, or outside of their own.
func (c *checker) checkTransactions(known map[string]*request) {
	users := map[uint64]*request{}
	for _, run := range c.runs {
		r, found := known[run.ID]
		if strings.HasPrefix(run.ID, serviceCaller) {
			continue
		}
		if !found {
			c.found.add("%s ran, which no caller sent", run.ID)
			continue
		}
		if run.TxID == 0 {
			if r.tx != nil {
				c.found.add("%s ran outside of its transaction", run.ID)
			}
			continue
		}
		first, used := users[run.TxID]
		if !used {
			users[run.TxID] = r
			continue
		}
		if first.tx != r.tx || (r.tx == nil && first != r) {
			c.found.add("%s and %s ran in one transaction", first.ID, run.ID)
		}
	}
}

// checkFresh finds a read on a log that lacks what it had to show.
func (c *checker) checkFresh(r *request, required *requirement) {
	need := required.before(r.began().Add(-staleness[r.database]))
	if r.database == own {
		need = later(need, required.of(r.session, r.began()))
	}
	for _, run := range c.runsOf[r.ID] {
		if run.Member != memberOf(r.Signature, r.ID) {
			continue
		}
		if less(place(run.Position), need) {
			c.found.add("%s in %s read at %s on %s, which lacks %s", r.ID, r.database, run.Position, run.Member, need)
		}
	}
}

// memberOf returns the member that signed.
func memberOf(signature, id string) string {
	return strings.TrimSuffix(strings.TrimPrefix(signature, "sig-"), "-"+id)
}

// place parses a member's position.
func place(position string) lineplatform.Position {
	p, err := lineplatform.ParsePosition(position)
	if err != nil {
		// The stand-in writes positions itself.
		panic("soak: a position that is none: " + position)
	}
	return p
}

func less(a, b lineplatform.Position) bool {
	return a.Term < b.Term || (a.Term == b.Term && a.Offset < b.Offset)
}

func later(a, b lineplatform.Position) lineplatform.Position {
	if less(a, b) {
		return b
	}
	return a
}

// requirement tells which commits a read must show.
type requirement struct {
	// commits are in the order of their acknowledgement; those that a promotion
	// rolled back are left out.
	commits []acknowledgedAt
}

type acknowledgedAt struct {
	acknowledged
	place lineplatform.Position
	// highest is the latest place up to this one.
	highest lineplatform.Position
}

func newRequirement(acks []acknowledged, e evidence) *requirement {
	q := &requirement{}
	for _, a := range acks {
		if p := e.commit(a.id); !e.rolledBack(p) {
			q.commits = append(q.commits, acknowledgedAt{acknowledged: a, place: p})
		}
	}
	slices.SortFunc(q.commits, func(a, b acknowledgedAt) int { return a.at.Compare(b.at) })
	var highest lineplatform.Position
	for i := range q.commits {
		highest = later(highest, q.commits[i].place)
		q.commits[i].highest = highest
	}
	return q
}

// rolledBack reports whether a promotion dropped a place.
func (e evidence) rolledBack(p lineplatform.Position) bool {
	return slices.ContainsFunc(e.starts, func(s lineplatform.Position) bool {
		return s.Term > p.Term && p.Offset > s.Offset
	})
}

// before returns the latest place that was acknowledged before a time.
func (q *requirement) before(t time.Time) lineplatform.Position {
	n, _ := slices.BinarySearchFunc(q.commits, t, func(a acknowledgedAt, t time.Time) int { return a.at.Compare(t) })
	if n == 0 {
		return lineplatform.Position{}
	}
	return q.commits[n-1].highest
}

// of returns the latest place that a session committed before a time.
func (q *requirement) of(session string, t time.Time) lineplatform.Position {
	var out lineplatform.Position
	for _, a := range q.commits {
		if a.session == session && a.at.Before(t) {
			out = later(out, a.place)
		}
	}
	return out
}
