// Package outcome defines the errors that are returned to callers. Each error code
// states whether the request was executed and whether it may be retried. A test
// compares the codes with the table in docs/OUTCOMES.md.
package outcome

// Ran states whether a request was executed.
type Ran uint8

// The values of Ran.
const (
	RanNo Ran = iota
	RanYes
	RanUnknown
)

func (r Ran) String() string {
	switch r {
	case RanNo:
		return "no"
	case RanYes:
		return "yes"
	default:
		return "unknown"
	}
}

// Code is an error code that callers see.
type Code uint8

// The codes, in the order of the table in docs/OUTCOMES.md.
const (
	OK Code = iota
	NoPrimary
	QueueFull
	DeadlineBeforeStart
	Draining
	BehindToken
	TooStale
	TokenAhead
	TokenMalformed
	UnknownService
	UnknownOutcome
	KeyReused
	KeyExpired
	TooLarge
	Unsupported
	ProtocolViolation
	ReplicationStalled
	Cancelled
	WrongMember
	TooManyConnections
	TransactionLost
	Unauthorized
	numCodes
)

// Codes returns all codes but OK, in order.
func Codes() []Code {
	all := make([]Code, 0, numCodes-1)
	for c := OK + 1; c < numCodes; c++ {
		all = append(all, c)
	}
	return all
}

// Info describes a Code.
type Info struct {
	Name     string
	SQLState string
	Ran      Ran
	// Retry reports whether the caller may retry the unchanged request.
	Retry   bool
	Meaning string
}

var infos = [numCodes]Info{
	OK:                  {"ok", "00000", RanYes, false, "the request succeeded"},
	NoPrimary:           {"no_primary", "57P03", RanNo, true, "no primary could be reached before the deadline"},
	QueueFull:           {"queue_full", "53400", RanNo, true, "the queue of the upstream is full"},
	DeadlineBeforeStart: {"deadline_before_start", "57014", RanNo, true, "the deadline would pass before the request could start"},
	Draining:            {"draining", "57P01", RanNo, true, "the host or upstream is leaving"},
	BehindToken:         {"behind_token", "40001", RanNo, true, "no reachable upstream has caught up with the session"},
	TooStale:            {"too_stale", "72000", RanNo, true, "no reachable upstream is provably within the staleness bound"},
	TokenAhead:          {"token_ahead", "22023", RanNo, false, "the session token is ahead of every position that exists"},
	TokenMalformed:      {"token_malformed", "22P02", RanNo, false, "the session token cannot be read"},
	UnknownService:      {"unknown_service", "3D000", RanNo, false, "the configuration has no such service"},
	UnknownOutcome:      {"unknown_outcome", "08007", RanUnknown, false, "the request was sent and its outcome is not known"},
	KeyReused:           {"key_reused", "23505", RanNo, false, "the idempotency key was used for another request"},
	KeyExpired:          {"key_expired", "22008", RanNo, false, "the idempotency key is older than the ledger keeps"},
	TooLarge:            {"too_large", "54000", RanNo, false, "a message exceeds the size limit"},
	Unsupported:         {"unsupported", "0A000", RanNo, false, "the request cannot be carried over a pooled connection"},
	ProtocolViolation:   {"protocol_violation", "08P01", RanNo, false, "the message is malformed or out of order"},
	ReplicationStalled:  {"replication_stalled", "57P05", RanNo, true, "too many writes wait for replication"},
	Cancelled:           {"cancelled", "57014", RanNo, true, "the caller cancelled the request, which has no effect"},
	WrongMember:         {"wrong_member", "57P04", RanNo, true, "the upstream is not in the role that the request needs"},
	TooManyConnections:  {"too_many_connections", "53300", RanNo, true, "the connection limit is reached"},
	TransactionLost:     {"transaction_lost", "40001", RanNo, true, "the connection under the transaction failed and the transaction was rolled back"},
	Unauthorized:        {"unauthorized", "28P01", RanNo, false, "the team does not hold the key"},
}

func (c Code) Info() Info {
	if c >= numCodes {
		return Info{Name: "invalid", SQLState: "XX000", Ran: RanUnknown}
	}
	return infos[c]
}

func (c Code) String() string { return c.Info().Name }

// DecodeCode returns the code with a number that another host has sent. The outcome of
// one that this version does not know is unknown.
func DecodeCode(n uint32) Code { return Code(min(n, uint32(numCodes))) }
