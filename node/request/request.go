// Package request holds the messages between the parts of a host that route a
// caller's request and the part, here or on another host, that runs it.
package request

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/membership"
	"github.com/dotterelswitch/dotterelswitch/core/outcome"
)

// Request is one exchange with an upstream.
type Request struct {
	// ID is unique among the requests of one Sender.
	ID       uint64
	Sender   string
	Service  string
	Upstream string
	Team     string
	Class    string
	// Write asks for the primary.
	Write bool
	// MayCommit reports whether the request can have an effect that lasts. Only
	// then does a lost answer leave the outcome unknown.
	MayCommit bool
	Deadline  time.Time
	// Frames are the caller's messages, ending in one Query or Sync.
	Frames []byte
	// Token is the position that the session has seen in this service.
	Token     logpos.Position
	Staleness time.Duration
	// Transaction names a transaction that an earlier response opened on the
	// same upstream; zero for none.
	Transaction uint64
	// Key is the idempotency key; empty for none.
	Key string
	// Wait bounds the wait for a replica to catch up.
	Wait time.Duration
}

// Response is the outcome of a Request.
type Response struct {
	// Frames are the upstream's messages without ReadyForQuery.
	Frames   []byte
	TxStatus byte
	Position logpos.Position
	// Transaction is set while a transaction is open.
	Transaction uint64
	// Refusal is set when there are no frames.
	Refusal *outcome.Refusal
	// ForkCrossed reports that entries which the session had seen were
	// abandoned by a change of primary.
	ForkCrossed bool
	Hint        Hint
	// Queue and Service are the times spent waiting for and using a slot.
	Queue, Service time.Duration
	// Host and Upstream are where the request ran; the router fills them in.
	Host     membership.Host
	Upstream string
}

// Hint is what the responder knows of the group.
type Hint struct {
	Primary string
	Term    logpos.Term
	Members []MemberHint
}

// MemberHint is what the responder knows of one member.
type MemberHint struct {
	Name    string
	Applied logpos.Position
	Age     time.Duration
}

// Refused returns a response with only a refusal.
func Refused(r *outcome.Refusal) *Response { return &Response{Refusal: r} }
