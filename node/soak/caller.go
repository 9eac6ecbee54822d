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
	// statementTimeout is the timeout that the routes configure.
	statementTimeout = 2 * time.Second
	// answerTimeout is how long a caller waits for an answer.
	answerTimeout = 3 * statementTimeout
	// maxThinkTime bounds a caller's pause between statements.
	maxThinkTime = 20 * time.Millisecond
	// sharedItems is the number of items that all callers read and write.
	sharedItems              = 40
	maxSessionOperations     = 60
	maxTransactionStatements = 4
)

// caller runs operations sequentially, in one session after the other.
type caller struct {
	name string
	rng  *rand.Rand
	// oddRNG decides when a statement has odd text, apart from rng, which decides the rest.
	oddRNG *rand.Rand
	hosts  []*hostProcess
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
		s := &callerSession{
			caller: c, id: fmt.Sprintf("%s-%d", c.name, c.sessions), database: databases[c.rng.IntN(len(databases))],
			host: host, incarnation: host.currentIncarnation(), sessionValues: map[string]string{}, preparedShapes: map[string]string{},
		}
		session, err := linecaller.OpenWithKey(host.callerAddress, databaseOf(c.group, s.database), c.team.Keys[0], s.id, answerTimeout)
		if err != nil {
			// The host is down or at its session limit; the next session picks one again.
			c.pause()
			continue
		}
		s.session = session
		for n := c.rng.IntN(maxSessionOperations); n >= 0 && ctx.Err() == nil && s.runOperation(); n-- {
			c.pause()
		}
		session.Close()
	}
}

func (c *caller) pause() { time.Sleep(time.Duration(c.rng.Int64N(int64(maxThinkTime)))) }

// runOperation runs a randomly chosen operation and reports whether the session
// is still usable.
func (s *callerSession) runOperation() bool {
	if s.oddRNG.IntN(malformedPeriod) == 0 && !s.runMalformed() {
		return false
	}
	switch p := s.rng.IntN(100); {
	case p < 40:
		return s.runData(read) != nil
	case p < 60:
		return s.runData(write) != nil
	case p < 85:
		return s.runTransaction()
	case p < 93:
		return s.setSessionValue()
	default:
		return s.prepareOrDeallocate()
	}
}

func (s *callerSession) randomItem() string { return fmt.Sprintf("item%d", s.rng.IntN(sharedItems)) }

// runData runs a read or a write, prepared or not. It returns nil when the
// session is no longer usable.
func (s *callerSession) runData(v verb) *request {
	if name, found := s.preparedName(v); found && s.rng.IntN(2) == 0 {
		text := "EXECUTE " + name + " " + s.randomItem()
		if v == write {
			text += " " + s.session.NextID() + s.oddText()
		}
		return s.execute(v, text, s.preparedShapes[name])
	}
	if v == write {
		return s.execute(v, "STORE "+s.randomItem()+" "+s.session.NextID()+s.oddText(), "")
	}
	item := s.randomItem()
	if s.oddRNG.IntN(oddTextPeriod) == 0 {
		item = oddItem(s.oddRNG.IntN(len(oddRows)))
	}
	return s.execute(v, "FETCH "+item, "")
}

func (s *callerSession) preparedName(v verb) (string, bool) {
	kind := "FETCH"
	if v == write {
		kind = "STORE"
	}
	for name, shape := range s.preparedShapes {
		if strings.HasPrefix(shape, kind) {
			return name, true
		}
	}
	return "", false
}

// execute sends a statement that a member has to run and records its result.
func (s *callerSession) execute(v verb, text, shape string) *request {
	r := &request{
		verb: v, text: text, preparedShape: shape, database: s.database, team: s.team.Name, session: s.id, tx: s.tx,
		host: s.host, incarnation: s.incarnation, sessionValues: s.encodeValues(), sentAt: time.Now(),
	}
	var err error
	r.Answer, err = s.session.Run(text)
	r.answeredAt, r.unanswered = time.Now(), err != nil
	s.requests = append(s.requests, r)
	if v == write && s.tx != nil {
		s.tx.writes = append(s.tx.writes, r)
	}
	if v == write && s.tx == nil && r.ok() {
		s.commits = append(s.commits, ackedCommit{at: r.answeredAt, requestID: r.ID, session: s.id})
	}
	if r.unanswered {
		return nil
	}
	return r
}

func (s *callerSession) encodeValues() string {
	var names []string
	for name := range s.sessionValues {
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		b.WriteString(name + "=" + s.sessionValues[name] + " ")
	}
	return b.String()
}

// runControl sends a statement that the host may answer without a member. It
// reports whether the statement succeeded.
func (s *callerSession) runControl(text string) bool {
	a, err := s.session.Run(text)
	s.controls = append(s.controls, control{Answer: a, text: text, inTx: s.tx != nil, unanswered: err != nil})
	return err == nil && a.Code == ""
}

// runMalformed sends a statement with a byte that no field may have. It reports whether the
// session is still usable.
func (s *callerSession) runMalformed() bool {
	end, hidden := pick(s.oddRNG, lineEnds), strings.ReplaceAll(pick(s.oddRNG, hiddenMessages), "ID", s.session.NextID())
	text := strings.ReplaceAll(pick(s.oddRNG, malformedTexts), "END", end+hidden)
	a, err := s.session.Run(text)
	s.controls = append(s.controls, control{Answer: a, text: text, malformed: true, inTx: s.tx != nil, unanswered: err != nil})
	return err == nil
}

func (s *callerSession) setSessionValue() bool {
	name, value := fmt.Sprintf("name%d", s.rng.IntN(3)), fmt.Sprintf("v%d", s.rng.IntN(4))+s.oddText()
	if !s.runControl("SET " + name + " " + value) {
		return false
	}
	s.sessionValues[name] = value
	return true
}

func (s *callerSession) prepareOrDeallocate() bool {
	name := fmt.Sprintf("s%d", s.rng.IntN(3))
	if _, found := s.preparedShapes[name]; found {
		delete(s.preparedShapes, name)
		return s.runControl("DEALLOC " + name)
	}
	shape := []string{"FETCH", "STORE"}[s.rng.IntN(2)] + fmt.Sprintf(" q%d", s.rng.IntN(5))
	if !s.runControl("PREPARE " + name + " " + shape) {
		return false
	}
	s.preparedShapes[name] = shape
	return true
}

// runTransaction runs one transaction and reports whether the session is still
// usable.
func (s *callerSession) runTransaction() bool {
	tx := &transaction{beganAt: time.Now(), result: notCommitted}
	readOnly := s.rng.IntN(2) == 0
	begin := "BEGIN"
	if readOnly {
		begin = "BEGIN FETCH"
	}
	if !s.runControl(begin) {
		return false
	}
	s.tx = tx
	defer func() { s.tx = nil }()
	for range 1 + s.rng.IntN(maxTransactionStatements) {
		v := read
		if !readOnly && s.rng.IntN(2) == 0 {
			v = write
		}
		r := s.runData(v)
		if r == nil {
			return false
		}
		if !r.ok() {
			// A transaction that failed but is still open has to be rolled back.
			return r.State == "I" || s.runControl("ROLLBACK")
		}
		if s.oddRNG.IntN(malformedPeriod) == 0 && !s.runMalformed() {
			return false
		}
		s.pause()
	}
	return s.endTransaction(tx)
}

// endTransaction disconnects, rolls back or commits, and reports whether the
// session is still usable.
func (s *callerSession) endTransaction(tx *transaction) bool {
	switch p := s.rng.IntN(10); {
	case p == 0:
		return false
	case p < 3:
		return s.runControl("ROLLBACK")
	}
	tx.result = outcomeUnknown
	r := s.execute(commit, "COMMIT", "")
	switch {
	case r == nil:
		return false
	case r.ok():
		tx.result = committed
		if len(tx.writes) > 0 {
			s.commits = append(s.commits, ackedCommit{at: r.answeredAt, requestID: tx.writes[0].ID, session: s.id})
		}
	case linecaller.NoEffect(r.Code):
		tx.result = notCommitted
	}
	return true
}
