package registry

import (
	"sync/atomic"
	"time"
)

// storeSeen is the newest call that the store has answered, by when it was asked.
// It is safe for concurrent use.
type storeSeen struct{ askedAt atomic.Int64 }

// answered notes an answer to a call that was asked at the given time.
func (s *storeSeen) answered(askedAt time.Duration) {
	for {
		newest := s.askedAt.Load()
		if int64(askedAt) <= newest || s.askedAt.CompareAndSwap(newest, int64(askedAt)) {
			return
		}
	}
}

// after reports whether the store has answered a call that was asked after the
// given time: it was not silent then.
func (s *storeSeen) after(at time.Duration) bool { return time.Duration(s.askedAt.Load()) > at }
