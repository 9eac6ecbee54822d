package storelink

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/retry"
)

const (
	// watchWaitFraction is the wait of one watch as a fraction of the time within which
	// a configuration change must be active. A store that compacts its history may leave
	// a watch waiting without an answer.
	watchWaitFraction = 0.4
	// watchTimeoutFraction is the time after which a watch without an answer is given
	// up, as a fraction of the same time. A store that was unresponsive never answers the
	// watches of that time. The rest is left for the longest backoff and a full listing.
	watchTimeoutFraction = 0.6
	// defaultMaxConfigApplyTime applies if NewPacing is called with zero.
	defaultMaxConfigApplyTime = 3 * time.Second
	// watchSpacing is the minimum time between the starts of two watches. It batches
	// bursts of changes, such as the registrations of a whole fleet that starts.
	watchSpacing = 100 * time.Millisecond
	// relayWatchSpacingFraction is the spacing of a relay's watches as a fraction of the
	// time within which a configuration change must be active, if that is longer than
	// watchSpacing. In a large fleet some member writes its entry at nearly any time, so
	// each watch ends at once.
	relayWatchSpacingFraction = 0.05
	// noRelayWatchSpacing replaces watchSpacing for a host that watches the store only
	// until it finds a relay. Most hosts of a fleet are in this state during a store
	// outage, and none of them has followers.
	noRelayWatchSpacing = 500 * time.Millisecond
	// maxStartupCalls is the number of calls that are spaced by startupBackoff.
	maxStartupCalls = 20
)

var (
	// backoff spaces calls to an unreachable store.
	backoff = retry.Backoff{Base: 100 * time.Millisecond, Max: time.Second}
	// startupBackoff spaces the first calls of a host that has no configuration yet
	// and cannot serve. It is short because any further wait delays service.
	startupBackoff = retry.Backoff{Base: 50 * time.Millisecond, Max: 200 * time.Millisecond}
	// noRelayBackoff replaces backoff for a host that awaits a relay.
	noRelayBackoff = retry.Backoff{Base: 100 * time.Millisecond, Max: 2 * time.Second}
)

// Role is for whom a host watches the store.
type Role int

const (
	// Alone: in a small fleet each host watches the store for itself.
	Alone Role = iota
	// Relay: other hosts of the zone may follow.
	Relay
	// AwaitingRelay: for itself, until it finds a relay.
	AwaitingRelay
)

// Pacing spaces a host's calls to the store.
type Pacing struct {
	// WatchWait is the time after which a watch without changes returns.
	WatchWait time.Duration
	// WatchTimeout is the time after which a watch without an answer is given up.
	WatchTimeout time.Duration
	// relaySpacing is the minimum time between the starts of two watches of a relay.
	relaySpacing time.Duration
}

// NewPacing returns the pacing for the time within which a configuration change must be
// active; zero for a default.
func NewPacing(maxConfigApplyTime time.Duration) Pacing {
	if maxConfigApplyTime <= 0 {
		maxConfigApplyTime = defaultMaxConfigApplyTime
	}
	fraction := func(f float64) time.Duration { return time.Duration(f * float64(maxConfigApplyTime)) }
	return Pacing{
		WatchWait: fraction(watchWaitFraction), WatchTimeout: fraction(watchTimeoutFraction),
		relaySpacing: max(watchSpacing, fraction(relayWatchSpacingFraction)),
	}
}

// WatchSpacing returns the minimum time between the starts of two watches.
func (p Pacing) WatchSpacing(role Role) time.Duration {
	switch role {
	case Relay:
		return p.relaySpacing
	case AwaitingRelay:
		return noRelayWatchSpacing
	}
	return watchSpacing
}

// Backoff returns the backoff after a number of failed calls. A host that cannot serve
// yet retries soon, but not at a store that throttles calls.
func (p Pacing) Backoff(role Role, canServe, throttled bool, attempt int) retry.Backoff {
	switch {
	case !canServe && !throttled && attempt < maxStartupCalls:
		return startupBackoff
	case role == AwaitingRelay:
		return noRelayBackoff
	}
	return backoff
}
