package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/dotterelswitch/dotterelswitch/standin/linecaller"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

const (
	// statementTimeout is the routes' timeout; answerTimeout is how long a caller
	// waits for an answer.
	statementTimeout = 2 * time.Second
	answerTimeout    = 3 * statementTimeout
	// maxThinkTime bounds a caller's pause between statements.
	maxThinkTime = 20 * time.Millisecond
	// sharedItems is the number of items that all callers read and write.
	sharedItems              = 40
	maxSessionOperations     = 60
	maxTransactionStatements = 4
)

// caller runs operations sequentially, in one session after the other.
type caller struct {
	name  string
	rng   *rand.Rand
	hosts []*hostProcess
	// group is the index of the database group that the caller uses.
	group int
	team  lineplatform.Team
	history
	sessions int
}

// callerSession is one session of a caller.
type callerSession struct {
	*caller
	session        *linecaller.Session
	id             string
	database       string
	host           *hostProcess
	incarnation    int
	sessionValues  map[string]string
	preparedShapes map[string]string
	tx             *transaction
}

// run opens sessions until the context is cancelled.
func (c *caller) run(ctx context.Context) {
	databases := []string{strictDatabase, boundedDatabase, readYourWritesDatabase, readYourWritesDatabase}
	for ctx.Err() == nil {
		c.sessions++
		host := c.hosts[c.rng.IntN(len(c.hosts))]
		t := &callerSession{
			caller: c, id: fmt.Sprintf("%s-%d", c.name, c.sessions), database: databases[c.rng.IntN(len(databases))],
			host: host, incarnation: host.currentIncarnation(), sessionValues: map[string]string{}, preparedShapes: map[string]string{},
		}
		session, err := linecaller.OpenWithKey(host.callerAddress, databaseOf(c.group, t.database), c.team.Keys[0], t.id, answerTimeout)
		if err != nil {
			// The host is down or at its session limit; the next session picks one again.
			c.pause()
			continue
		}
		t.session = session
		for n := c.rng.IntN(maxSessionOperations); n >= 0 && ctx.Err() == nil && t.runOperation(); n-- {
			c.pause()
		}
		session.Close()
	}
}

func (c *caller) pause() { time.Sleep(time.Duration(c.rng.Int64N(int64(maxThinkTime)))) }

// runOperation runs a randomly chosen operation and reports whether the session
// is still usable.
func (t *callerSession) runOperation() bool {
	switch p := t.rng.IntN(100); {
	case p < 40:
		return t.runData(read) != nil
	case p < 60:
		return t.runData(write) != nil
	case p < 85:
		return t.runTransaction()
	case p < 93:
		return t.setSessionValue()
	default:
		return t.prepareOrDeallocate()
	}
}

func (t *callerSession) randomItem() string { return fmt.Sprintf("item%d", t.rng.IntN(sharedItems)) }

// runData runs a read or a write, prepared or not. It returns nil when the
// session is no longer usable.
func (t *callerSession) runData(v verb) *request {
	if name, found := t.preparedName(v); found && t.rng.IntN(2) == 0 {
		text := "EXECUTE " + name + " " + t.randomItem()
		if v == write {
			text += " " + t.session.NextID()
		}
		return t.execute(v, text, t.preparedShapes[name])
	}
	if v == write {
		return t.execute(v, "STORE "+t.randomItem()+" "+t.session.NextID(), "")
	}
	return t.execute(v, "FETCH "+t.randomItem(), "")
}

func (t *callerSession) preparedName(v verb) (string, bool) {
	kind := "FETCH"
	if v == write {
		kind = "STORE"
	}
	for name, shape := range t.preparedShapes {
		if strings.HasPrefix(shape, kind) {
			return name, true
		}
	}
	return "", false
}

// execute sends a statement that a member has to run and records its result.
func (t *callerSession) execute(v verb, text, shape string) *request {
	r := &request{
		verb: v, text: text, preparedShape: shape, database: t.database, team: t.team.Name, session: t.id, tx: t.tx,
		host: t.host, incarnation: t.incarnation, sessionValues: t.encodeValues(), sentAt: time.Now(),
	}
	var err error
	r.Answer, err = t.session.Run(text)
	r.answeredAt, r.unanswered = time.Now(), err != nil
	t.requests = append(t.requests, r)
	if v == write && t.tx != nil {
		t.tx.writes = append(t.tx.writes, r)
	}
	if v == write && t.tx == nil && r.ok() {
		t.commits = append(t.commits, ackedCommit{at: r.answeredAt, requestID: r.ID, session: t.id})
	}
	if r.unanswered {
		return nil
	}
	return r
}

func (t *callerSession) encodeValues() string {
	var names []string
	for name := range t.sessionValues {
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		b.WriteString(name + "=" + t.sessionValues[name] + " ")
	}
	return b.String()
}

// runControl sends a statement that the host may answer without a member. It
// reports whether the statement succeeded.
func (t *callerSession) runControl(text string) bool {
	a, err := t.session.Run(text)
	return err == nil && a.Code == ""
}

func (t *callerSession) setSessionValue() bool {
	name, value := fmt.Sprintf("name%d", t.rng.IntN(3)), fmt.Sprintf("v%d", t.rng.IntN(4))
	if !t.runControl("SET " + name + " " + value) {
		return false
	}
	t.sessionValues[name] = value
	return true
}

func (t *callerSession) prepareOrDeallocate() bool {
	name := fmt.Sprintf("s%d", t.rng.IntN(3))
	if _, found := t.preparedShapes[name]; found {
		delete(t.preparedShapes, name)
		return t.runControl("DEALLOC " + name)
	}
	shape := []string{"FETCH", "STORE"}[t.rng.IntN(2)] + fmt.Sprintf(" q%d", t.rng.IntN(5))
	if !t.runControl("PREPARE " + name + " " + shape) {
		return false
	}
	t.preparedShapes[name] = shape
	return true
}

// runTransaction runs one transaction and reports whether the session is still
// usable.
func (t *callerSession) runTransaction() bool {
	tx := &transaction{beganAt: time.Now(), result: notCommitted}
	readOnly := t.rng.IntN(2) == 0
	begin := "BEGIN"
	if readOnly {
		begin = "BEGIN FETCH"
	}
	if !t.runControl(begin) {
		return false
	}
	t.tx = tx
	defer func() { t.tx = nil }()
	for range 1 + t.rng.IntN(maxTransactionStatements) {
		v := read
		if !readOnly && t.rng.IntN(2) == 0 {
			v = write
		}
		r := t.runData(v)
		if r == nil {
			return false
		}
		if !r.ok() {
			// A transaction that failed but is still open has to be rolled back.
			return r.State == "I" || t.runControl("ROLLBACK")
		}
		t.pause()
	}
	return t.endTransaction(tx)
}

// endTransaction disconnects, rolls back or commits, and reports whether the
// session is still usable.
func (t *callerSession) endTransaction(tx *transaction) bool {
	switch p := t.rng.IntN(10); {
	case p == 0:
		return false
	case p < 3:
		return t.runControl("ROLLBACK")
	}
	tx.result = outcomeUnknown
	r := t.execute(commit, "COMMIT", "")
	switch {
	case r == nil:
		return false
	case r.ok():
		tx.result = committed
		if len(tx.writes) > 0 {
			t.commits = append(t.commits, ackedCommit{at: r.answeredAt, requestID: tx.writes[0].ID, session: t.id})
		}
	case linecaller.NoEffect(r.Code):
		tx.result = notCommitted
	}
	return true
}
