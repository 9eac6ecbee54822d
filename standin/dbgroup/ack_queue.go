package dbgroup

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// ackQueue holds acknowledgements on their way from a replica to its primary.
type ackQueue struct {
	list []ackInFlight
}

// ackInFlight is one acknowledgement and when it arrives.
type ackInFlight struct {
	position logpos.Position
	due      time.Time
}

// push sends an acknowledgement, unless the position is the newest sent.
func (q *ackQueue) push(p logpos.Position, due time.Time) {
	if n := len(q.list); n > 0 && q.list[n-1].position == p {
		return
	}
	q.list = append(q.list, ackInFlight{position: p, due: due})
}

// pop returns the newest acknowledgement that has arrived.
func (q *ackQueue) pop(now time.Time) (logpos.Position, bool) {
	var newest logpos.Position
	found := false
	for len(q.list) > 0 && !q.list[0].due.After(now) {
		newest, found = q.list[0].position, true
		q.list = q.list[1:]
	}
	return newest, found
}

func (q *ackQueue) clear() { q.list = nil }
