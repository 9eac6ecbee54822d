// Package request defines the messages between the router and the host, local
// or remote, that executes a request on an upstream.
package request

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/membership"
	"github.com/dotterelswitch/dotterelswitch/core/outcome"
)

// Request is one exchange with an upstream.
type Request struct {
	// ID is unique for each Sender.
	ID       uint64
	Sender   string
	Service  string
	Upstream string
	Team     string
	Class    string
	// NeedsPrimary restricts execution to the primary.
	NeedsPrimary bool
	// MayCommit reports whether the request can commit a change. Only then does
	// a lost response leave the outcome unknown.
	MayCommit bool
	Deadline  time.Time
	// Frames are the caller's protocol messages, ending in one Query or Sync.
	Frames []byte
	// MinPosition is the log position that the session has observed in this
	// service; the read must include it.
	MinPosition  logpos.Position
	MaxStaleness time.Duration
	// TransactionID identifies a transaction that an earlier response opened on
	// the same upstream; zero for none.
	TransactionID uint64
	// IdempotencyKey is empty for none.
	IdempotencyKey string
	// CatchUpWait bounds the wait for the replica to reach MinPosition.
	CatchUpWait time.Duration
}

// Response is the outcome of a Request.
type Response struct {
	// Frames are the upstream's protocol messages without ReadyForQuery.
	Frames   []byte
	TxStatus byte
	Position logpos.Position
	// TransactionID is non-zero while a transaction is open.
	TransactionID uint64
	// Refusal is set when there are no frames.
	Refusal *outcome.Refusal
	// ForkCrossed reports that a failover discarded log entries that the session
	// had observed.
	ForkCrossed bool
	Hint        Hint
	// QueueTime and ServiceTime are the times spent waiting for a slot and using
	// it.
	QueueTime, ServiceTime time.Duration
	// Host and Upstream are where the request ran; the router sets them.
	Host     membership.Host
	Upstream string
}

// Hint is the responder's view of the replication group.
type Hint struct {
	Primary string
	Term    logpos.Term
	Members []MemberHint
}

// MemberHint is the responder's view of one member.
type MemberHint struct {
	Name    string
	Applied logpos.Position
	Age     time.Duration
}

// Refused returns a response that carries only a refusal.
func Refused(r *outcome.Refusal) *Response { return &Response{Refusal: r} }
