// Package roster tracks which hosts are in the fleet on the users' platform, from their
// registrations in the platform's store. Package core/membership tracks the hosts of
// PostgreSQL groups.
//
// After the store is restored from a backup, registrations may be missing, expire soon,
// or belong to hosts that have left, and the hosts register again within seconds.
// Applying these changes directly would move members' connections and promotion locks
// between hosts and back. So a registration names the epoch of the store in which it
// was written. After a restore, registrations of earlier epochs are carried over until
// the live hosts have had time to register again.
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
	// MinCarryOver is the minimum time for which registrations of an earlier epoch are
	// carried over: two renewal intervals of a host's lease, because a host finds out
	// at a renewal that it must register again.
	MinCarryOver = minLeaseTTL
	// reregisterSpreadPerHost is the time per host over which the hosts of a fleet
	// register again. It keeps their writes, two per host, well below the rate limit
	// of the store: 400 a second.
	reregisterSpreadPerHost = 5 * time.Millisecond
	// departedRetention is how long a departed host is remembered. It exceeds the age
	// of a backup that may still contain the host.
	departedRetention = time.Minute
)

// ReregistrationSpread returns the time over which the hosts of a fleet of the given
// size spread their registrations after a restore. If all hosts registered at their
// next renewal, a large fleet would exceed the store's rate limit, and rejected hosts
// would be removed from the fleet.
func ReregistrationSpread(hosts int) time.Duration {
	return time.Duration(hosts) * reregisterSpreadPerHost
}

// Registration is a host's entry in the store.
type Registration struct {
	Host gates.Host
	// Epoch is the epoch of the store in which the registration was written.
	Epoch store.Epoch
	// ConfigVersion is the newest configuration version that the host knew when it
	// registered.
	ConfigVersion uint64
}

// Roster is one host's view of the fleet. It is not safe for concurrent use.
type Roster struct {
	// epoch is the store's epoch at the newest listing.
	epoch  store.Epoch
	listed bool
	// carryOverFor is how long registrations of earlier epochs are carried over,
	// depending on the size of the fleet.
	carryOverFor time.Duration
	hosts        map[string]entry
	// departed maps departed hosts to the time when they were removed.
	departed map[string]time.Duration
	// lastDeparture is when a host was last removed; zero if none was.
	lastDeparture time.Duration
}

// entry is a registration and, if it is of an earlier epoch, the time until which it is
// carried over.
type entry struct {
	Registration
	carriedUntil time.Duration
}

func (e entry) carriedOver() bool { return e.carriedUntil > 0 }

// New returns an empty roster.
func New() *Roster {
	return &Roster{carryOverFor: MinCarryOver, hosts: map[string]entry{}, departed: map[string]time.Duration{}}
}

// Replace applies a complete listing of the store.
func (r *Roster) Replace(listing []Registration, epoch store.Epoch, now time.Duration) {
	previous := r.hosts
	restored := r.listed && epoch > r.epoch
	size := max(len(previous), len(listing))
	r.carryOverFor = max(LeaseTTL(size), 2*ReregistrationSpread(size))
	r.hosts, r.epoch, r.listed = make(map[string]entry, len(listing)), epoch, true
	for _, reg := range listing {
		r.Put(reg, now)
	}
	for name, e := range previous {
		_, found := r.hosts[name]
		switch {
		case found && e.carriedOver() && !restored && r.hosts[name].carriedOver():
			r.hosts[name] = e
		case found:
		case restored:
			r.carryOver(e.Registration, now)
		case e.carriedOver():
			r.hosts[name] = e
		default:
			r.markDeparted(name, now)
		}
	}
}

// Put applies a registration that was written to the store.
func (r *Roster) Put(reg Registration, now time.Duration) {
	name := reg.Host.Name
	if reg.Epoch >= r.epoch {
		r.hosts[name] = entry{Registration: reg}
		delete(r.departed, name)
		return
	}
	if _, found := r.hosts[name]; !found {
		r.carryOver(reg, now)
	}
}

// carryOver keeps a registration of an earlier epoch for a while, unless its host has
// departed.
func (r *Roster) carryOver(reg Registration, now time.Duration) {
	name := reg.Host.Name
	if at, departed := r.departed[name]; departed && now-at < departedRetention {
		return
	}
	r.hosts[name] = entry{Registration: reg, carriedUntil: now + r.carryOverFor}
}

// Remove applies the deletion of a registration. Carried-over registrations stay: the
// lease may have expired only in the restored store.
func (r *Roster) Remove(name string, now time.Duration) {
	if e, found := r.hosts[name]; !found || e.carriedOver() {
		return
	}
	delete(r.hosts, name)
	r.markDeparted(name, now)
}

// markDeparted records that a host has departed, and evicts old records.
func (r *Roster) markDeparted(name string, now time.Duration) {
	for other, at := range r.departed {
		if now-at >= departedRetention {
			delete(r.departed, other)
		}
	}
	r.departed[name] = now
	r.lastDeparture = now
}

// LastDeparture returns when a host was last removed; zero if none was.
func (r *Roster) LastDeparture() time.Duration { return r.lastDeparture }

// Expire removes carried-over registrations whose time has passed. It reports whether
// it removed any.
func (r *Roster) Expire(now time.Duration) bool {
	dropped := false
	for name, e := range r.hosts {
		if e.carriedOver() && now >= e.carriedUntil {
			delete(r.hosts, name)
			r.markDeparted(name, now)
			dropped = true
		}
	}
	return dropped
}

// HasCarriedOver reports whether any registration is carried over from an earlier
// epoch.
func (r *Roster) HasCarriedOver() bool {
	for _, e := range r.hosts {
		if e.carriedOver() {
			return true
		}
	}
	return false
}

// Host returns a host by name.
func (r *Roster) Host(name string) (gates.Host, bool) {
	e, found := r.hosts[name]
	return e.Host, found
}

// Registered reports whether a host has registered in the current epoch.
func (r *Roster) Registered(name string) bool {
	e, found := r.hosts[name]
	return found && !e.carriedOver()
}

// Hosts returns the hosts in no particular order.
func (r *Roster) Hosts() []gates.Host {
	out := make([]gates.Host, 0, len(r.hosts))
	for _, e := range r.hosts {
		out = append(out, e.Host)
	}
	return out
}

// Len returns the number of hosts.
func (r *Roster) Len() int { return len(r.hosts) }

// MayHaveNewerConfig reports whether other hosts may run a newer configuration than the
// given version of the store: a host has registered with one, or the store was just
// restored from a backup.
func (r *Roster) MayHaveNewerConfig(version uint64) bool {
	return r.ConfigVersion() > version || r.HasCarriedOver()
}

// HostsWithNewestConfig returns up to count hosts, those with the newest configuration
// version first. Equal hosts are in random order to spread requests when a whole fleet
// starts at once.
func (r *Roster) HostsWithNewestConfig(count int, rng *rand.Rand) []gates.Host {
	registrations := make([]Registration, 0, len(r.hosts))
	for _, e := range r.hosts {
		registrations = append(registrations, e.Registration)
	}
	rng.Shuffle(len(registrations), func(i, j int) { registrations[i], registrations[j] = registrations[j], registrations[i] })
	slices.SortStableFunc(registrations, func(a, b Registration) int {
		return cmp.Or(cmp.Compare(b.ConfigVersion, a.ConfigVersion), cmp.Compare(b.Epoch, a.Epoch))
	})
	var out []gates.Host
	for _, reg := range registrations[:min(count, len(registrations))] {
		out = append(out, reg.Host)
	}
	return out
}

// ConfigVersion returns the newest configuration version that a host has registered
// with.
func (r *Roster) ConfigVersion() uint64 {
	newest := uint64(0)
	for _, e := range r.hosts {
		newest = max(newest, e.ConfigVersion)
	}
	return newest
}
