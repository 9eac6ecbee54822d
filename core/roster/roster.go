// Package roster decides which hosts are there, from what they register in the
// platform's store.
//
// Fault pattern: the store returns from a copy that is some seconds old, with half of
// the leases run out in it. Hosts that stand are missing or about to be, hosts that
// left are back, and all of them register again within a few seconds. Were each
// host's picture to follow, members' connections and promotion locks would move from
// host to host and back, twice, while nothing has changed. So a registration names the
// epoch of the store that it was written in; after a restore, those of before count
// until the living have had time to register again.
package roster

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/store"
)

const (
	// Carry is how long a registration of an earlier epoch counts at least: twice the
	// time between two renewals of a host's lease, at which it finds that it has to
	// register again.
	Carry = 6 * time.Second
	// spreadPerHost is the time for each host of a fleet over which its hosts register
	// again: two writes a host, 400 a second, a third of what the store of a large fleet
	// takes.
	spreadPerHost = 5 * time.Millisecond
	// rememberLeft is how long it is known that a host has left: a copy that still has
	// it is some seconds old.
	rememberLeft = time.Minute
)

// RegisterWithin returns the time over which the hosts of a fleet of that size spread
// their calls to register again after a restore.
//
// Load pattern: 5,000 hosts learn of a restore within a second. Registering at their
// next renewal, within 3 s, they would make 3,300 writes a second, the store would
// turn most of them away, and they would be taken for gone.
func RegisterWithin(hosts int) time.Duration { return time.Duration(hosts) * spreadPerHost }

// Registration is what a host has registered.
type Registration struct {
	Host gates.Host
	// Epoch is the store's when it was written.
	Epoch store.Epoch
	// ConfigVersion is the newest configuration that the host knew then.
	ConfigVersion uint64
}

// Roster is one host's picture of the fleet. It is not safe for concurrent use.
type Roster struct {
	// epoch is the store's at the newest listing.
	epoch  store.Epoch
	listed bool
	// carryFor is how long registrations of earlier epochs count, for a fleet of this size.
	carryFor time.Duration
	hosts    map[string]standing
	// left maps hosts that have left to when that was heard.
	left map[string]time.Duration
}

// standing is a registration and, where it is of an earlier epoch, until when it
// counts.
type standing struct {
	Registration
	until time.Duration
}

func (s standing) carried() bool { return s.until > 0 }

// New returns an empty roster.
func New() *Roster {
	return &Roster{carryFor: Carry, hosts: map[string]standing{}, left: map[string]time.Duration{}}
}

// Replace takes a complete listing of the store.
func (r *Roster) Replace(listing []Registration, epoch store.Epoch, now time.Duration) {
	before := r.hosts
	restored := r.listed && epoch > r.epoch
	r.carryFor = max(Carry, 2*RegisterWithin(max(len(before), len(listing))))
	r.hosts, r.epoch, r.listed = make(map[string]standing, len(listing)), epoch, true
	for _, reg := range listing {
		r.Put(reg, now)
	}
	for name, s := range before {
		_, found := r.hosts[name]
		switch {
		case found && s.carried() && !restored && r.hosts[name].carried():
			r.hosts[name] = s
		case found:
		case restored:
			r.carry(s.Registration, now)
		case s.carried():
			r.hosts[name] = s
		default:
			r.noteLeft(name, now)
		}
	}
}

// Put takes a registration as it was written.
func (r *Roster) Put(reg Registration, now time.Duration) {
	name := reg.Host.Name
	if reg.Epoch >= r.epoch {
		r.hosts[name] = standing{Registration: reg}
		delete(r.left, name)
		return
	}
	if _, found := r.hosts[name]; !found {
		r.carry(reg, now)
	}
}

// carry has a registration of an earlier epoch count for a while, unless its host
// has left.
func (r *Roster) carry(reg Registration, now time.Duration) {
	name := reg.Host.Name
	if at, left := r.left[name]; left && now-at < rememberLeft {
		return
	}
	r.hosts[name] = standing{Registration: reg, until: now + r.carryFor}
}

// Remove notes that a registration is gone. One that is carried over goes on to
// count: its lease may only have run out in the copy.
func (r *Roster) Remove(name string, now time.Duration) {
	if s, found := r.hosts[name]; !found || s.carried() {
		return
	}
	delete(r.hosts, name)
	r.noteLeft(name, now)
}

// noteLeft notes that a host has left, and forgets those that left long ago.
func (r *Roster) noteLeft(name string, now time.Duration) {
	for other, at := range r.left {
		if now-at >= rememberLeft {
			delete(r.left, other)
		}
	}
	r.left[name] = now
}

// Expire drops the registrations that were carried over for long enough. It reports
// whether there were any.
func (r *Roster) Expire(now time.Duration) bool {
	dropped := false
	for name, s := range r.hosts {
		if s.carried() && now >= s.until {
			delete(r.hosts, name)
			r.noteLeft(name, now)
			dropped = true
		}
	}
	return dropped
}

// Carries reports whether a registration of an earlier epoch counts at present.
func (r *Roster) Carries() bool {
	for _, s := range r.hosts {
		if s.carried() {
			return true
		}
	}
	return false
}

// Host returns a host by name.
func (r *Roster) Host(name string) (gates.Host, bool) {
	s, found := r.hosts[name]
	return s.Host, found
}

// Registered reports whether a host has registered in the present epoch.
func (r *Roster) Registered(name string) bool {
	s, found := r.hosts[name]
	return found && !s.carried()
}

// Hosts returns the hosts, in no order.
func (r *Roster) Hosts() []gates.Host {
	out := make([]gates.Host, 0, len(r.hosts))
	for _, s := range r.hosts {
		out = append(out, s.Host)
	}
	return out
}

// Len returns how many hosts there are.
func (r *Roster) Len() int { return len(r.hosts) }

// MayKnowNewer reports whether other hosts may run on a newer configuration than the
// store has: one has named it, or the store has just returned from a copy.
func (r *Roster) MayKnowNewer(version uint64) bool {
	return r.ConfigVersion() > version || r.Carries()
}

// LikelyNewest returns some hosts, those first that named the newest configuration,
// and by chance among equals: a whole fleet may start and ask at the same moment.
func (r *Roster) LikelyNewest(count int, rng *rand.Rand) []gates.Host {
	all := make([]Registration, 0, len(r.hosts))
	for _, s := range r.hosts {
		all = append(all, s.Registration)
	}
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b Registration) int {
		return cmp.Or(cmp.Compare(b.ConfigVersion, a.ConfigVersion), cmp.Compare(b.Epoch, a.Epoch))
	})
	var out []gates.Host
	for _, reg := range all[:min(count, len(all))] {
		out = append(out, reg.Host)
	}
	return out
}

// ConfigVersion returns the newest configuration that a host knew when it
// registered.
func (r *Roster) ConfigVersion() uint64 {
	newest := uint64(0)
	for _, s := range r.hosts {
		newest = max(newest, s.ConfigVersion)
	}
	return newest
}
