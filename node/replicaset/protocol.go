// Package replicaset runs statements on the members of one database group: its
// connections, what is known of each member, who leads, and how fresh a read
// is. The decisions are those of the core's packages; this one does the I/O.
package replicaset

import (
	"bufio"

	"github.com/dotterelswitch/dotterelswitch/core/statement"
)

// Protocol is how members are spoken to.
type Protocol interface {
	// EncodeLogin opens a connection in the name of a team; empty for the system's
	// own.
	EncodeLogin(service, team, member string) []byte
	EncodeGoodbye() []byte
	Encode(op statement.Operation) []byte
	ReadWelcome(r *bufio.Reader) (statement.Answer, error)
	ReadAnswer(r *bufio.Reader) (statement.Answer, error)
	DecodeStatus(a statement.Answer) (statement.Status, error)
}
