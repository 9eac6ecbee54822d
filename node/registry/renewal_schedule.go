package registry

import (
	"math/rand/v2"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/roster"
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

// reregistrationDelay returns a random delay before a host registers again with a
// restored store, so that the fleet does not register at once. The hosts may learn of the
// restore spread over a time already, as at their renewals; a host waits only for the rest
// of the required spread.
func reregistrationDelay(hosts int, alreadySpread time.Duration) time.Duration {
	return rand.N(max(roster.ReregistrationSpread(hosts)-alreadySpread, 0) + 1)
}

// renewalSchedule spaces the calls that keep a host registered. It backs off during an
// outage of the store, when the whole fleet retries. When the store answers this host
// again, one retry is made early, so that the other hosts learn of it without delay.
type renewalSchedule struct {
	// failures counts the consecutive failed attempts; err is the error of the last one.
	failures int
	err      error
	// retriedEarly is set if one of these attempts was made early. Only one is allowed:
	// updates from a relay also count as contact, while the store may still refuse this
	// host.
	retriedEarly bool
}

// record records the result of an attempt.
func (s *renewalSchedule) record(err error) {
	s.err = err
	if err == nil {
		*s = renewalSchedule{}
		return
	}
	s.failures++
}

// delay returns the delay before the next attempt. It is not shortened for a store that
// throttles calls, nor before the host has listed the store, as the listing is retried
// more often and triggers an early retry when it succeeds.
func (s *renewalSchedule) delay(listed bool, renewalInterval time.Duration) time.Duration {
	switch {
	case s.err == nil:
		return renewalInterval
	case !listed || store.Is(s.err, store.Throttled):
		return throttledRenewDelay
	}
	// The bound of the shift avoids an overflow.
	return min(renewRetryDelay<<min(s.failures-1, 8), maxRenewRetryDelay)
}

// mayRetryEarly reports whether an answer of the store ends the delay.
func (s *renewalSchedule) mayRetryEarly() bool { return s.err != nil && !s.retriedEarly }

func (s *renewalSchedule) recordEarlyRetry() { s.retriedEarly = true }
