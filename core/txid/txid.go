// Package txid issues the IDs of open transactions. The host that keeps a transaction
// issues its ID; another host presents it with each further statement.
package txid

import (
	"math/rand/v2"
	"sync/atomic"
)

// Sequence issues IDs that differ from those of every other sequence, also of one in an
// earlier process of the same host: a late statement must not reach a later transaction.
// The zero value is not valid. It is safe for concurrent use.
type Sequence struct{ last atomic.Uint64 }

// NewSequence returns a sequence that starts at a random ID.
func NewSequence() *Sequence {
	s := &Sequence{}
	s.last.Store(rand.Uint64())
	return s
}

// Next returns a new ID. It is never zero, which stands for no transaction.
func (s *Sequence) Next() uint64 {
	for {
		if id := s.last.Add(1); id != 0 {
			return id
		}
	}
}
