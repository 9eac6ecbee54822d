package roster

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/store"
)

const (
	// renewRetryDelay is the delay after the first failed renewal; it doubles with each
	// further failure. Two retries fit into the rest of the lease if the store refuses
	// calls at once.
	renewRetryDelay = 500 * time.Millisecond
	// maxRenewRetryDelay bounds the delay, so that a host registers again soon after the
	// store accepts its calls.
	maxRenewRetryDelay = 2 * time.Second
	// throttledRenewDelay is the delay after a failed renewal if the store throttles
	// calls, or before the host has listed it.
	throttledRenewDelay = 3 * time.Second
)

// RenewalSchedule spaces the calls that keep a host registered. It backs off during an
// outage of the store, when the whole fleet retries. When the store answers this host
// again, one retry is made early, so that the other hosts learn of it without delay.
type RenewalSchedule struct {
	// failures counts the consecutive failed attempts; err is the error of the last one.
	failures int
	err      error
	// retriedEarly is set if one of these attempts was made early. Only one is allowed:
	// updates from a relay also count as contact, while the store may still refuse this
	// host.
	retriedEarly bool
}

// Record records the result of an attempt.
func (s *RenewalSchedule) Record(err error) {
	s.err = err
	if err == nil {
		*s = RenewalSchedule{}
		return
	}
	s.failures++
}

// Delay returns the delay before the next attempt. It is not shortened for a store that
// throttles calls, nor before the host has listed the store, as the listing is retried
// more often and triggers an early retry when it succeeds.
func (s *RenewalSchedule) Delay(listed bool, renewalInterval time.Duration) time.Duration {
	switch {
	case s.err == nil:
		return renewalInterval
	case !listed || store.Is(s.err, store.Throttled):
		return throttledRenewDelay
	}
	// The bound of the shift avoids an overflow.
	return min(renewRetryDelay<<min(s.failures-1, 8), maxRenewRetryDelay)
}

// MayRetryEarly reports whether an answer of the store ends the delay.
func (s *RenewalSchedule) MayRetryEarly() bool { return s.err != nil && !s.retriedEarly }

func (s *RenewalSchedule) RecordEarlyRetry() { s.retriedEarly = true }
