// Package storelink tracks how a host keeps its copy of the platform's store up to date.
// A host starts with a complete listing, then watches the store itself or follows a relay,
// lists the store again if changes may have been missed, and polls other hosts while
// neither the store nor a relay answers. The state machine makes no calls: its user
// reports what has happened and asks what to do next.
package storelink

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/relay"
)

// PollDelay is the time after a failed call, or after an answer became overdue, for which
// neither the store nor a relay must have answered before other hosts are polled. Single
// lost calls are retried sooner.
const PollDelay = 500 * time.Millisecond

// PollInterval is the time between two rounds of polls.
const PollInterval = 500 * time.Millisecond

// Link is the state of one host. Times are since an arbitrary start and never zero. It is
// not safe for concurrent use.
type Link struct {
	// lastAnswer is when the store or a relay last sent data; zero before the first
	// complete listing.
	lastAnswer time.Duration
	// knownUntil is the time up to which all changes of the store are known: when it last
	// answered this host or, earlier than lastAnswer, a relay.
	knownUntil time.Duration
	// failedAt is when the first call after lastAnswer failed; zero if none did.
	failedAt time.Duration
	// relistDue is set while a complete listing is needed.
	relistDue bool
	// catchUpDue is set after a relay lacked changes, until the store is asked for them.
	catchUpDue bool
	// follows is set while changes come from a relay or the host looks for the next one;
	// relay is the host that is followed, empty between two relays.
	follows bool
	relay   string
}

// New returns the state of a host that has just started.
func New() *Link { return &Link{relistDue: true} }

// Phase returns how the host learns of changes.
func (l *Link) Phase() Phase {
	switch {
	case !l.HasListed():
		return Starting
	case l.Unreachable():
		return Polling
	case l.relistDue:
		return Relisting
	case l.relay != "":
		return Following
	}
	return Watching
}

// HasListed reports whether a complete listing was ever received.
func (l *Link) HasListed() bool { return l.lastAnswer != 0 }

// Unreachable reports whether a call has failed and no data has arrived since.
func (l *Link) Unreachable() bool { return l.failedAt != 0 }

// UsesStore reports whether the host calls the store itself rather than follow a relay.
func (l *Link) UsesStore() bool { return !l.follows }

// Relay returns the relay that the host follows; empty for none.
func (l *Link) Relay() string { return l.relay }

// RelistDue reports whether a complete listing is needed.
func (l *Link) RelistDue() bool { return l.relistDue }

// MayFollow reports whether the host may follow a relay now. A relay sends changes only,
// so what precedes them has to be known.
func (l *Link) MayFollow() bool { return !l.relistDue && !l.catchUpDue }

// Recent reports whether the host's data is new enough for followers: it is complete, the
// source answers, and has done so within maxAge. A relay's data comes from the store too,
// so a host that switches between the two keeps its followers.
func (l *Link) Recent(now, maxAge time.Duration) bool {
	if l.relistDue || l.UsesStore() && l.Unreachable() {
		return false
	}
	return l.SinceAnswer(now) <= maxAge
}

// SinceAnswer returns the time since the store or a relay last sent data.
func (l *Link) SinceAnswer(now time.Duration) time.Duration { return now - l.lastAnswer }

// Age returns the time since the store last answered this host, or a relay by which its
// answer came here.
func (l *Link) Age(now time.Duration) time.Duration { return now - l.knownUntil }

// PollDue reports whether other hosts are to be asked for changes: a call has failed
// PollDelay ago, or nothing has arrived for longer than overdue, the time within which
// the store or a relay answers even if nothing changes. A call that gets no answer fails
// later than that.
func (l *Link) PollDue(now, overdue time.Duration) bool {
	if l.follows {
		// A relay tells of an answer without changes with its next heartbeat.
		overdue += relay.HeartbeatInterval
	}
	return l.Unreachable() && now-l.failedAt >= PollDelay || l.HasListed() && l.Age(now) > overdue+PollDelay
}
