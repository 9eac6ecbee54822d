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
	// statementTime is the routes' timeout, answerTimeout what a caller waits.
	statementTime = 2 * time.Second
	answerTimeout = 3 * statementTime
	// maxPause bounds a caller's rest between statements.
	maxPause = 20 * time.Millisecond
	// sharedItems is how many items all callers read and write.
	sharedItems = 40
	// longSession bounds the operations of one session.
	longSession = 60
	// maxStatements bounds a transaction.
	maxStatements = 4
)

// caller runs operations one after the other.
type caller struct {
	name  string
	rng   *rand.Rand
	fleet []*process
	// group is the number of the group whose databases the caller uses.
	group int
	team  lineplatform.Team
	history
	sessions int
}

// talk is one session of a caller.
type talk struct {
	*caller
	session     *linecaller.Session
	id          string
	database    string
	host        *process
	incarnation int
	values      map[string]string
	shapes      map[string]string
	tx          *transaction
}

// run opens one session after the other until the context ends.
func (c *caller) run(ctx context.Context) {
	databases := []string{strict, bounded, own, own}
	for ctx.Err() == nil {
		c.sessions++
		host := c.fleet[c.rng.IntN(len(c.fleet))]
		t := &talk{
			caller: c, id: fmt.Sprintf("%s-%d", c.name, c.sessions), database: databases[c.rng.IntN(len(databases))],
			host: host, incarnation: host.running(), values: map[string]string{}, shapes: map[string]string{},
		}
		session, err := linecaller.OpenWithKey(host.caller, databaseOf(c.group, t.database), c.team.Keys[0], t.id, answerTimeout)
		if err != nil {
			// A host that is down or full; the platform would choose another.
			c.rest()
			continue
		}
		t.session = session
		for n := c.rng.IntN(longSession); n >= 0 && ctx.Err() == nil && t.operate(); n-- {
			c.rest()
		}
		session.Close()
	}
}

func (c *caller) rest() { time.Sleep(time.Duration(c.rng.Int64N(int64(maxPause)))) }

// operate runs one operation; it reports whether the session lives on.
func (t *talk) operate() bool {
	switch p := t.rng.IntN(100); {
	case p < 40:
		return t.data(read) != nil
	case p < 60:
		return t.data(write) != nil
	case p < 85:
		return t.transact()
	case p < 93:
		return t.setValue()
	default:
		return t.prepare()
	}
}

func (t *talk) item() string { return fmt.Sprintf("item%d", t.rng.IntN(sharedItems)) }

// data runs a read or a write; it returns nil when the session is of no more
// use.
func (t *talk) data(v verb) *request {
	if name, found := t.preparedFor(v); found && t.rng.IntN(2) == 0 {
		text := "EXECUTE " + name + " " + t.item()
		if v == write {
			text += " " + t.session.NextID()
		}
		return t.ask(v, text, t.shapes[name])
	}
	if v == write {
		return t.ask(v, "STORE "+t.item()+" "+t.session.NextID(), "")
	}
	return t.ask(v, "FETCH "+t.item(), "")
}

func (t *talk) preparedFor(v verb) (string, bool) {
	kind := "FETCH"
	if v == write {
		kind = "STORE"
	}
	for name, shape := range t.shapes {
		if strings.HasPrefix(shape, kind) {
			return name, true
		}
	}
	return "", false
}

// ask sends a statement that a member has to run, and notes what came of it.
func (t *talk) ask(v verb, text, shape string) *request {
	r := &request{
		verb: v, text: text, shape: shape, database: t.database, team: t.team.Name, session: t.id, tx: t.tx,
		host: t.host, incarnation: t.incarnation, values: t.valuesText(), sent: time.Now(),
	}
	var err error
	r.Answer, err = t.session.Run(text)
	r.answered, r.lost = time.Now(), err != nil
	t.requests = append(t.requests, r)
	if v == write && t.tx != nil {
		t.tx.writes = append(t.tx.writes, r)
	}
	if v == write && t.tx == nil && r.ok() {
		t.commits = append(t.commits, acknowledged{at: r.answered, id: r.ID, session: t.id})
	}
	if r.lost {
		return nil
	}
	return r
}

func (t *talk) valuesText() string {
	var names []string
	for name := range t.values {
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		b.WriteString(name + "=" + t.values[name] + " ")
	}
	return b.String()
}

// control sends a statement that the system may answer itself; it reports
// whether it succeeded.
func (t *talk) control(text string) bool {
	a, err := t.session.Run(text)
	return err == nil && a.Code == ""
}

func (t *talk) setValue() bool {
	name, value := fmt.Sprintf("name%d", t.rng.IntN(3)), fmt.Sprintf("v%d", t.rng.IntN(4))
	if !t.control("SET " + name + " " + value) {
		return false
	}
	t.values[name] = value
	return true
}

func (t *talk) prepare() bool {
	name := fmt.Sprintf("s%d", t.rng.IntN(3))
	if _, found := t.shapes[name]; found {
		delete(t.shapes, name)
		return t.control("DEALLOC " + name)
	}
	shape := []string{"FETCH", "STORE"}[t.rng.IntN(2)] + fmt.Sprintf(" q%d", t.rng.IntN(5))
	if !t.control("PREPARE " + name + " " + shape) {
		return false
	}
	t.shapes[name] = shape
	return true
}

// transact runs one transaction; it reports whether the session lives on.
func (t *talk) transact() bool {
	tx := &transaction{began: time.Now(), outcome: notKept}
	readOnly := t.rng.IntN(2) == 0
	begin := "BEGIN"
	if readOnly {
		begin = "BEGIN FETCH"
	}
	if !t.control(begin) {
		return false
	}
	t.tx = tx
	defer func() { t.tx = nil }()
	for range 1 + t.rng.IntN(maxStatements) {
		v := read
		if !readOnly && t.rng.IntN(2) == 0 {
			v = write
		}
		r := t.data(v)
		if r == nil {
			return false
		}
		if !r.ok() {
			// The session ends outside of a transaction only after a rollback.
			return r.State == "I" || t.control("ROLLBACK")
		}
		t.rest()
	}
	return t.finish(tx)
}

// finish ends a transaction in one of three ways.
func (t *talk) finish(tx *transaction) bool {
	switch p := t.rng.IntN(10); {
	case p == 0:
		return false
	case p < 3:
		return t.control("ROLLBACK")
	}
	tx.outcome = unknown
	r := t.ask(commit, "COMMIT", "")
	switch {
	case r == nil:
		return false
	case r.ok():
		tx.outcome = kept
		if len(tx.writes) > 0 {
			t.commits = append(t.commits, acknowledged{at: r.answered, id: tx.writes[0].ID, session: t.id})
		}
	case linecaller.NoEffect(r.Code):
		tx.outcome = notKept
	}
	return true
}
