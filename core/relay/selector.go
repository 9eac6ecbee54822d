// Package relay decides which hosts follow the platform's store themselves and
// which hear of its changes from another host.
//
// Load pattern: every call to the store is paid for and counted against one rate
// for the whole fleet, and a change is answered to each watch that waits. A
// watch a host makes both grow with the fleet. So in a large fleet one host of
// each zone watches and the others of the zone follow it; a zone that is cut off
// from the rest keeps its own watch.
package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/membership"
)

const (
	// SmallFleet is how many hosts may all watch the store: with less than three
	// hosts a zone a relay saves little, and its loss costs time.
	SmallFleet = 16
	// Beat is how often a relay gives a sign of life, and SilentAfter how long
	// one may be missed. With a listing after it, a change is still in force well
	// within the shortest bound of a deployment, 3 s.
	Beat        = 400 * time.Millisecond
	SilentAfter = 1200 * time.Millisecond
	// StaleAfter is how much longer than one watch the store may leave a relay
	// without an answer. Its followers may reach a store that it does not.
	StaleAfter = 500 * time.Millisecond
	// AvoidSilent is how long a relay is passed over that was silent or could not be
	// reached: a dead one is off the list of hosts after the 6 s of its lease.
	AvoidSilent = 8 * time.Second
	// AvoidRefusing is how long one is passed over that has said itself that it does
	// not relay at present: it stops, and is soon off the list, or the store is away
	// from it. Load pattern: all hosts are restarted in turn just after a cut. With 8
	// s here too, 130 of 295 hosts had neither relay of their zone left and watched
	// the store themselves: 2,741 calls in five seconds.
	AvoidRefusing = 2 * time.Second
	// inTurn is how many hosts of a zone are tried as relays before a host watches
	// the store itself. Load pattern: the store turns a third of the hosts away, a
	// relay among them, and its followers would all watch the store: 98 hosts made
	// 1,985 calls in twenty seconds, and 1,570 with two in turn. Not more than two,
	// so that a change is still in force within 3 s if both are silent: each is given
	// up after SilentAfter.
	inTurn = 2
	// Settle is the wait before the next relay is followed, up to twice as long
	// by chance: it has lost the first one at the same moment, and needs a moment to
	// watch the store itself. Its followers do not come all at once.
	Settle = 50 * time.Millisecond
)

// Relays is one host's choice of whom to follow. It is not safe for concurrent
// use.
type Relays struct {
	// self is the host that chooses.
	self gates.Host
	// avoided maps hosts that failed as relays to when they may be tried again.
	avoided map[string]time.Duration
}

// New returns the choice of a host.
func New(self gates.Host) *Relays {
	return &Relays{self: self, avoided: map[string]time.Duration{}}
}

// Pick returns the host to follow; it returns false when this host watches the
// store itself. Of each zone the host with the highest score is the relay, and the
// one after it for those that have lost the first.
func (r *Relays) Pick(fleet []gates.Host, now time.Duration) (gates.Host, bool) {
	if len(fleet) <= SmallFleet {
		return gates.Host{}, false
	}
	for _, h := range r.turns(fleet) {
		if h.Name == r.self.Name {
			return gates.Host{}, false
		}
		if now >= r.avoided[h.Name] {
			return h, true
		}
	}
	return gates.Host{}, false
}

// turns returns the hosts of the zone that are tried as relays, in their order.
// This host always counts, registered or not: it follows only hosts that go before
// it, so that however much the hosts' pictures of the fleet differ, none follows
// itself by way of others.
func (r *Relays) turns(fleet []gates.Host) []gates.Host {
	out := []gates.Host{r.self}
	for _, h := range fleet {
		if h.Zone != r.self.Zone || h.Name == r.self.Name {
			continue
		}
		at, _ := slices.BinarySearchFunc(out, h, precedes)
		if at < inTurn {
			out = slices.Insert(out, at, h)
			out = out[:min(len(out), inTurn)]
		}
	}
	return out
}

// precedes orders the hosts of a zone.
func precedes(a, b gates.Host) int {
	return cmp.Or(
		cmp.Compare(membership.Score(b.Zone, b.Name), membership.Score(a.Zone, a.Name)),
		cmp.Compare(a.Name, b.Name),
	)
}

// Failed has a relay passed over for a while. Refused tells that it has said itself
// that it does not relay.
func (r *Relays) Failed(host string, refused bool, now time.Duration) {
	r.avoided[host] = now + AvoidSilent
	if refused {
		r.avoided[host] = now + AvoidRefusing
	}
}

// Serves reports whether this host is one that others of its zone may follow, or
// in a small fleet watches the store like all others. One that is neither watches
// the store only while it has no relay.
func (r *Relays) Serves(fleet []gates.Host) bool {
	return len(fleet) <= SmallFleet || slices.ContainsFunc(r.turns(fleet), func(h gates.Host) bool { return h.Name == r.self.Name })
}
