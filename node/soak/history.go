package soak

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/standin/linecaller"
)

// The databases that callers use all the time.
const (
	strict  = "strict"
	bounded = "bounded"
	own     = "own"
)

// staleness is how old a read may be in each database.
var staleness = map[string]time.Duration{strict: 0, bounded: 1500 * time.Millisecond, own: 2500 * time.Millisecond}

// verb is what a statement does.
type verb uint8

const (
	read verb = iota
	write
	commit
)

// request is one statement that had to reach a member, as its caller saw it.
type request struct {
	linecaller.Answer
	verb     verb
	text     string
	database string
	// team is the caller's.
	team string
	// session names the connection, tx its transaction; both are unique in a run,
	// and tx is nil outside of a transaction.
	session string
	tx      *transaction
	host    *process
	// incarnation is the host's when the session began.
	incarnation    int
	sent, answered time.Time
	// lost tells that the connection ended without an answer.
	lost bool
	// values are the session values that were acknowledged, shape is what a
	// prepared name was prepared as.
	values, shape string
}

// ok reports whether the statement succeeded.
func (r *request) ok() bool { return !r.lost && r.Code == "" }

// began is when what a read may rely on was fixed.
func (r *request) began() time.Time {
	if r.tx != nil {
		return r.tx.began
	}
	return r.sent
}

// outcome is what a caller was told of a transaction.
type outcome uint8

const (
	// unknown promises nothing.
	unknown outcome = iota
	kept
	// notKept was rolled back, left, or refused with a promise.
	notKept
)

// transaction is one transaction of a caller.
type transaction struct {
	began   time.Time
	outcome outcome
	writes  []*request
}

// history is what one caller saw.
type history struct {
	requests []*request
	// commits are when a commit was acknowledged, with the request that wrote.
	commits []acknowledged
}

// acknowledged is a commit whose success was seen by its caller.
type acknowledged struct {
	at      time.Time
	id      string
	session string
}
