package dbgroup

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// ackQueue delays acknowledgements from a replica to its primary by the link
// latency.
type ackQueue struct {
	acks []ackInFlight
}

type ackInFlight struct {
	position  logpos.Position
	arrivesAt time.Time
}

// push queues an acknowledgement unless it repeats the last one queued.
func (q *ackQueue) push(p logpos.Position, arrivesAt time.Time) {
	if n := len(q.acks); n > 0 && q.acks[n-1].position == p {
		return
	}
	q.acks = append(q.acks, ackInFlight{position: p, arrivesAt: arrivesAt})
}

// pop removes the acknowledgements that have arrived and returns the newest.
func (q *ackQueue) pop(now time.Time) (logpos.Position, bool) {
	var newest logpos.Position
	found := false
	for len(q.acks) > 0 && !q.acks[0].arrivesAt.After(now) {
		newest, found = q.acks[0].position, true
		q.acks = q.acks[1:]
	}
	return newest, found
}

func (q *ackQueue) clear() { q.acks = nil }
