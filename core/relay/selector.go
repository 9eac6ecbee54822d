// Package relay decides which hosts watch the platform's store themselves and which
// receive its changes from another host.
//
// Calls to the store are expensive and rate-limited for the whole fleet, and every
// change is sent to each watch, so one watch per host does not scale. In a large fleet
// one host of each zone, the relay, watches the store and the others of the zone follow
// it. A zone that is cut off from the others keeps its own watch.
package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/membership"
)

const (
	// MaxFleetWithoutRelays is the number of hosts up to which all hosts watch the
	// store. With fewer than three hosts per zone a relay saves few calls, and its
	// failure delays changes.
	MaxFleetWithoutRelays = 16
	// HeartbeatInterval is how often a relay sends a heartbeat.
	HeartbeatInterval = 400 * time.Millisecond
	// HeartbeatTimeout is how long a follower waits for a heartbeat. It is short enough
	// that a change takes effect within 3 s even if a relay fails and the store must be
	// listed again.
	HeartbeatTimeout = 1200 * time.Millisecond
	// StoreAnswerGrace is how much longer than one watch a relay may be without an
	// answer of the store. After that its followers look for another source, as they
	// may reach a store that the relay does not.
	StoreAnswerGrace = 500 * time.Millisecond
	// RetryAfterTimeout is how long a relay that timed out or was unreachable is
	// skipped. It exceeds the lease of 6 s with which a dead host disappears from the
	// list of hosts.
	RetryAfterTimeout = 8 * time.Second
	// RetryAfterRefusal is how long a relay that refused to relay is skipped: it is
	// stopping or has no connection to the store. The delay is short because hosts that
	// find no relay load the store with watches of their own.
	RetryAfterRefusal = 2 * time.Second
	// minCandidates is how many hosts of a zone are tried as relays before a host
	// watches the store itself. A second candidate keeps the followers of a failed
	// relay off the store, also if the store refuses the first relay alone. More would
	// delay a change beyond 3 s, as each may take HeartbeatTimeout to fail.
	minCandidates = 2
	// hostsPerCandidate is the number of hosts of a zone for each further candidate, and
	// maxCandidates bounds their number. In a large zone the followers that are left
	// without a relay would load the store with watches, each of which returns every
	// entry that a member writes; and changes may take longer there.
	hostsPerCandidate = 60
	maxCandidates     = 4
	// FailoverDelay is the minimum delay before the next relay is followed; random
	// jitter adds up to the same time. The next relay loses the first one at the same
	// time and needs time to start its own watch; the jitter spreads the followers.
	FailoverDelay = 50 * time.Millisecond
)

// Selector selects the relay that one host follows. It is not safe for concurrent use.
type Selector struct {
	self gates.Host
	// retryAt maps hosts that failed as relays to the time when they may be tried
	// again.
	retryAt map[string]time.Duration
}

// New returns the selector of a host.
func New(self gates.Host) *Selector {
	return &Selector{self: self, retryAt: map[string]time.Duration{}}
}

// Pick returns the host to follow, or false if this host must watch the store itself.
// The candidates of a zone are tried in order of their scores.
func (s *Selector) Pick(fleet []gates.Host, now time.Duration) (gates.Host, bool) {
	if len(fleet) <= MaxFleetWithoutRelays {
		return gates.Host{}, false
	}
	for _, h := range s.candidates(fleet) {
		if h.Name == s.self.Name {
			return gates.Host{}, false
		}
		if now >= s.retryAt[h.Name] {
			return h, true
		}
	}
	return gates.Host{}, false
}

// candidates returns the hosts of the zone that may be relays, in order of preference.
// This host always takes part in the ranking, registered or not, and follows only hosts
// that rank before it. That prevents cycles even if hosts see different fleets.
func (s *Selector) candidates(fleet []gates.Host) []gates.Host {
	out := []gates.Host{s.self}
	zoneSize := 1
	for _, h := range fleet {
		if h.Zone != s.self.Zone || h.Name == s.self.Name {
			continue
		}
		zoneSize++
		out = insertRanked(out, h, maxCandidates)
	}
	return out[:min(len(out), candidateCount(zoneSize))]
}

// insertRanked inserts a host into ranked hosts, of which it keeps the first limit.
func insertRanked(ranked []gates.Host, h gates.Host, limit int) []gates.Host {
	at, _ := slices.BinarySearchFunc(ranked, h, compareRank)
	if at >= limit {
		return ranked
	}
	ranked = slices.Insert(ranked, at, h)
	return ranked[:min(len(ranked), limit)]
}

// candidateCount returns the number of candidates in a zone with the given hosts.
func candidateCount(zoneSize int) int {
	return min(minCandidates+zoneSize/hostsPerCandidate, maxCandidates)
}

// compareRank orders the hosts of a zone: those with the fastest link first, since a relay
// sends each change to all hosts of its zone, then by descending score. The order does not
// depend on which other hosts are known.
func compareRank(a, b gates.Host) int {
	return cmp.Or(
		cmp.Compare(b.LinkMbps, a.LinkMbps),
		cmp.Compare(membership.Score(b.Zone, b.Name), membership.Score(a.Zone, a.Name)),
		cmp.Compare(a.Name, b.Name),
	)
}

// MarkFailed skips a relay for a while. Refused is set if the relay itself refused.
func (s *Selector) MarkFailed(host string, refused bool, now time.Duration) {
	s.retryAt[host] = now + RetryAfterTimeout
	if refused {
		s.retryAt[host] = now + RetryAfterRefusal
	}
}

// MayRelay reports whether other hosts of the zone may follow this host, which then
// keeps its watch on the store. In a small fleet it is true for every host.
func (s *Selector) MayRelay(fleet []gates.Host) bool {
	return len(fleet) <= MaxFleetWithoutRelays || slices.ContainsFunc(s.candidates(fleet), func(h gates.Host) bool { return h.Name == s.self.Name })
}
