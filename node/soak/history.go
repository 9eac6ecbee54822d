package soak

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/standin/linecaller"
)

// The databases that callers use, one for each consistency of a route.
const (
	strictDatabase         = "strict"
	boundedDatabase        = "bounded"
	readYourWritesDatabase = "own"
)

// maxStaleness bounds the staleness of reads, by database.
var maxStaleness = map[string]time.Duration{strictDatabase: 0, boundedDatabase: 1500 * time.Millisecond, readYourWritesDatabase: 2500 * time.Millisecond}

// verb is the kind of a statement.
type verb uint8

const (
	read verb = iota
	write
	commit
)

// request is one statement for a member, as its caller observed it.
type request struct {
	linecaller.Answer
	verb     verb
	text     string
	database string
	// team is the caller's team.
	team string
	// session identifies the connection, uniquely in a run.
	session string
	// tx is nil outside of a transaction.
	tx   *transaction
	host *hostProcess
	// incarnation is that of the host when the session was opened.
	incarnation        int
	sentAt, answeredAt time.Time
	// unanswered is set when the connection ended before an answer arrived.
	unanswered bool
	// sessionValues are the acknowledged values of the session; preparedShape is the
	// shape of the prepared statement that the request executes.
	sessionValues, preparedShape string
}

func (r *request) ok() bool { return !r.unanswered && r.Code == "" }

// startTime returns when the request or its transaction began. Freshness is
// checked as of this time.
func (r *request) startTime() time.Time {
	if r.tx != nil {
		return r.tx.beganAt
	}
	return r.sentAt
}

// transactionResult is the outcome of a transaction as far as its caller knows it.
type transactionResult uint8

const (
	// outcomeUnknown covers commits without a definite answer.
	outcomeUnknown transactionResult = iota
	committed
	// notCommitted was rolled back, abandoned, or refused as not run.
	notCommitted
)

type transaction struct {
	beganAt time.Time
	result  transactionResult
	writes  []*request
}

// control is a statement that a host may answer without a member, as its caller observed it.
type control struct {
	linecaller.Answer
	text string
	// malformed is set if a field has a byte that no field may have.
	malformed, inTx, unanswered bool
}

// history is what one caller observed.
type history struct {
	requests []*request
	controls []control
	commits  []ackedCommit
}

// ackedCommit is a commit that was acknowledged to its caller. A transaction is
// identified by its first write.
type ackedCommit struct {
	at        time.Time
	requestID string
	session   string
}
