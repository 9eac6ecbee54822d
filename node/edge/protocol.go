// Package edge serves callers whose protocol carries one statement a message.
// The event loops of gnet cut messages; a bounded pool of workers runs the
// sessions that have something to do, one worker at a time for each session.
package edge

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

// Protocol is how callers speak.
type Protocol interface {
	// Decode cuts the first message off buf and returns its size, zero while
	// it is incomplete. After an error the stream cannot be followed.
	Decode(buf []byte) (statement.Message, int, error)
	EncodeWelcome() []byte
	EncodeAnswer(a statement.Answer) []byte
	// EncodeFatal is the last message before the system closes a session.
	EncodeFatal(code statement.Code, detail string) []byte
}

// Backend is what sessions need of the rest of the host.
type Backend interface {
	// Catalog returns the configuration in force, or nil before the first.
	Catalog() *catalog.Catalog
	// AwaitCatalog waits shortly for the first configuration of a host that has
	// just started; it returns nil if none has come.
	AwaitCatalog(ctx context.Context) *catalog.Catalog
	// AwaitSet returns the group of a service. It waits for it, until startBy at
	// most, where the host has just started; nil while none is known.
	AwaitSet(ctx context.Context, service string, startBy time.Duration) *replicaset.Set
	// AdmitOperation decides whether a team may run one more operation. It reports
	// false for one beyond the team's limit, and when it is of use to come back.
	AdmitOperation(ctx context.Context, team catalog.Team) (time.Duration, bool)
	// RefundOperation takes back an operation that was admitted and that no member
	// has run.
	RefundOperation(team catalog.Team)
}

// Observer is told of finished statements.
type Observer interface {
	Finished(r Record)
}

// Record describes one finished statement.
type Record struct {
	Database string
	// Team is in whose name the statement was admitted; empty where callers have
	// none.
	Team string
	// Key is the fingerprint of the key that the caller proved itself with.
	Key       string
	Statement statement.Statement
	// Route and Version are of the configuration that the statement ran under;
	// zero for one that needed no member.
	Route   catalog.Route
	Version uint64
	Outcome replicaset.Outcome
	Took    time.Duration
}
