// Package edge serves callers whose protocol carries one statement per message, as
// on the users' platform; package gateway serves PostgreSQL callers.
//
// The gnet event loops read and decode messages; a bounded worker pool runs the
// sessions with pending messages, at most one worker per session.
package edge

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

// Protocol encodes and decodes the caller protocol.
type Protocol interface {
	// Decode decodes the first message of buf and returns its size, zero while
	// it is incomplete. The connection is unusable after an error.
	Decode(buf []byte) (statement.Message, int, error)
	EncodeWelcome() []byte
	EncodeAnswer(a statement.Answer) []byte
	// EncodeFatal encodes the error that is sent before a session is closed.
	EncodeFatal(code statement.Code, detail string) []byte
}

// Backend provides the host services that sessions use.
type Backend interface {
	// Catalog returns the active configuration, or nil before the first one.
	Catalog() *catalog.Catalog
	// AwaitCatalog waits briefly for the first configuration of a starting host.
	// It returns nil if none arrives.
	AwaitCatalog(ctx context.Context) *catalog.Catalog
	// AwaitSet returns the replica set of a service, or nil if none is known. On a
	// starting host it waits for one until startDeadline.
	AwaitSet(ctx context.Context, service string, startDeadline time.Duration) *replicaset.Set
	// AdmitOperation applies the team's rate limit to one operation. If the
	// operation is refused, it also returns the delay before a retry.
	AdmitOperation(ctx context.Context, team catalog.Team) (time.Duration, bool)
	// RefundOperation returns the quota of an admitted operation that no member
	// has run.
	RefundOperation(team catalog.Team)
	// ObserveCommit records a commit, before it is acknowledged to the caller, whose
	// statement was received at a time on the clock of node/clock. It returns false if the
	// commit must not be acknowledged, because a promotion may lose it.
	ObserveCommit(service string, p logpos.Position, receivedAt time.Duration) bool
	// ObserveUnansweredCommit records that a member has not answered a write or a commit.
	ObserveUnansweredCommit(service string)
}

// Observer is notified of finished statements.
type Observer interface {
	Finished(r Record)
}

// Record describes one finished statement.
type Record struct {
	Database string
	// Team is the caller's team; empty if the service has no teams.
	Team string
	// Key is the fingerprint of the caller's key.
	Key       string
	Statement statement.Statement
	// Route and Version are from the configuration that applied to the statement.
	// Route is zero for a statement that needed no member.
	Route   catalog.Route
	Version uint64
	Outcome replicaset.Outcome
	Elapsed time.Duration
}
