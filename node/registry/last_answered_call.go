package registry

import (
	"sync/atomic"
	"time"
)

// lastAnsweredCall holds the start time of the latest started call that the store has
// answered. It is safe for concurrent use.
type lastAnsweredCall struct{ sentAt atomic.Int64 }

// record records an answer to a call that was sent at the given time.
func (l *lastAnsweredCall) record(sentAt time.Duration) {
	for {
		newest := l.sentAt.Load()
		if int64(sentAt) <= newest || l.sentAt.CompareAndSwap(newest, int64(sentAt)) {
			return
		}
	}
}

// answeredSince reports whether the store has answered a call that was sent after the
// given time.
func (l *lastAnsweredCall) answeredSince(at time.Duration) bool {
	return time.Duration(l.sentAt.Load()) > at
}
