// Package replicaset runs statements on the members of one database group. It
// keeps connections to the members, tracks their health and the primary, and
// enforces the freshness of reads. Decisions are made in the packages under
// core; this package does the I/O. It serves the hosts of the users' platform
// (package entry).
//
// A gate of a member is a host that keeps connections to it and runs statements
// there for other hosts; it is unrelated to the gateway for callers. The floor of
// a read is the minimum log position that the read must observe. A job is one step
// of a caller's work on one member, run on this host or on a gate.
package replicaset

import (
	"bufio"

	"github.com/dotterelswitch/dotterelswitch/core/statement"
)

// Protocol encodes and decodes the messages of the members' wire protocol.
type Protocol interface {
	// EncodeLogin encodes a login on behalf of a team; empty for the proxy's
	// own connections.
	EncodeLogin(service, team, member string) ([]byte, error)
	EncodeTerminate() []byte
	// Encode fails for an operation that cannot be sent as one message.
	Encode(op statement.Operation) ([]byte, error)
	ReadLoginAnswer(r *bufio.Reader) (statement.Answer, error)
	ReadAnswer(r *bufio.Reader) (statement.Answer, error)
	DecodeStatus(a statement.Answer) (statement.Status, error)
}
