package quota

import (
	"slices"
	"time"
)

// joinPeriod is how long a host counts as joining, and how long an announced host is
// kept without its registration. It exceeds the time that a registration takes to reach
// all hosts that have contact with the store.
const joinPeriod = 10 * time.Second

// lapsePeriod is the time within which the registrations of a whole fleet end and begin
// again after an outage of the store that was longer than their leases. It covers two
// renewal intervals of a lease and the spread of the hosts' attempts.
const lapsePeriod = 3 * time.Second

// Fleet is one host's view of the hosts among which counters are chosen.
//
// Registrations reach hosts at different times. If a host counted as soon as it has
// registered, the counters that it replaces would grant beside it until they hear of it.
// So a joining host counts a team only once the counters that the team has without it
// have acknowledged it: from then on they do not count in its place, or grant a smaller
// share beside it. A counter that grants the same with and without the joining host is
// not asked; it may be out of reach. Until then the joining host requests grants from
// them like any other host. An acknowledgement names the counters that the sender knows
// without the joining host: they may have joined just before it.
//
// An outage of the store that is longer than a lease ends all registrations, though the
// hosts go on. A host that acted on each of them would find itself nearly alone and grant
// a whole limit, like all others. So if no registration has lasted through the last
// lapsePeriod, this host's own neither, its counters stay those of the fleet before. A
// host that ends its registration itself, or whose registration alone has ended, has been
// replaced by others and does not do so.
//
// Fleet is not safe for concurrent use.
type Fleet struct {
	self       Host
	registered []Host
	// announced holds hosts that were announced before their registration arrived, by
	// name, with the time until which they are kept.
	announced map[string]announcedHost
	// departed holds hosts whose registration has ended, with the time until which only
	// they themselves can announce them.
	departed map[string]time.Duration
	// registeredSince maps the registered hosts to the time at which they were first seen,
	// and lapsed holds those whose registration has ended within lapsePeriod.
	registeredSince map[string]time.Duration
	lapsed          map[string]lapsedHost
	// carriedOver holds the hosts that stay in the fleet until carriedUntil, though their
	// registrations have lapsed together.
	carriedOver  []Host
	carriedUntil time.Duration
	// leaving is set once this host ends its registration itself.
	leaving bool
	// joiningUntil is the time until which this host counts as joining.
	joiningUntil time.Duration
	// acknowledgedBy holds the hosts that have acknowledged this one while it joins.
	acknowledgedBy map[string]bool
}

// announcedHost is a host without registration and the time until which it is kept.
type announcedHost struct {
	Host
	until time.Duration
}

// lapsedHost is a host and the time at which its registration ended.
type lapsedHost struct {
	Host
	at time.Duration
}

// NewFleet returns the view of a host that knows no other.
func NewFleet(self Host) *Fleet {
	return &Fleet{
		self: self, announced: map[string]announcedHost{}, departed: map[string]time.Duration{}, acknowledgedBy: map[string]bool{},
		registeredSince: map[string]time.Duration{}, lapsed: map[string]lapsedHost{},
	}
}

// SetRegistered sets the registered hosts.
func (f *Fleet) SetRegistered(hosts []Host, now time.Duration) {
	for name, until := range f.departed {
		if now >= until {
			delete(f.departed, name)
		}
	}
	for _, h := range f.registered {
		if !containsHost(hosts, h.Name) {
			f.departed[h.Name] = now + joinPeriod
		}
	}
	f.recordLapses(hosts, now)
	f.registered = hosts
	for _, h := range hosts {
		delete(f.announced, h.Name)
		delete(f.departed, h.Name)
	}
	f.carryOverLapsed(now)
}

// recordLapses records which registrations begin and end when hosts become the
// registered ones.
func (f *Fleet) recordLapses(hosts []Host, now time.Duration) {
	for name, h := range f.lapsed {
		if now-h.at >= lapsePeriod {
			delete(f.lapsed, name)
		}
	}
	for _, h := range f.registered {
		if !containsHost(hosts, h.Name) {
			f.lapsed[h.Name] = lapsedHost{Host: h, at: now}
			delete(f.registeredSince, h.Name)
		}
	}
	for _, h := range hosts {
		if _, known := f.registeredSince[h.Name]; !known {
			f.registeredSince[h.Name] = now
		}
	}
}

// carryOverLapsed keeps the hosts whose registrations have lapsed together with this
// host's.
func (f *Fleet) carryOverLapsed(now time.Duration) {
	if _, lapsed := f.lapsed[f.self.Name]; !lapsed || f.leaving || now < f.carriedUntil {
		return
	}
	for _, since := range f.registeredSince {
		if now-since >= lapsePeriod {
			return
		}
	}
	f.carriedUntil = now + lapsePeriod
	f.carriedOver = nil
	for _, h := range f.lapsed {
		f.carriedOver = append(f.carriedOver, h.Host)
	}
}

// Leave records that this host ends its registration itself.
func (f *Fleet) Leave() {
	f.leaving = true
	f.carriedOver, f.carriedUntil = nil, 0
}

// Join records that this host has just registered without having been registered before.
func (f *Fleet) Join(now time.Duration) {
	f.joiningUntil = now + joinPeriod
	clear(f.acknowledgedBy)
}

// Announce adds a host that announces itself before its registration has arrived. It
// reports whether the host is new here.
func (f *Fleet) Announce(h Host, now time.Duration) bool {
	if h.Name == f.self.Name || containsHost(f.registered, h.Name) {
		return false
	}
	known, found := f.announced[h.Name]
	f.announced[h.Name] = announcedHost{Host: h, until: now + joinPeriod}
	return !found || now >= known.until
}

// Learn adds hosts that another host knows, except those that have departed here. It
// reports whether one is new here.
func (f *Fleet) Learn(hosts []Host, now time.Duration) bool {
	learned := false
	for _, h := range hosts {
		if now >= f.departed[h.Name] {
			learned = f.Announce(h, now) || learned
		}
	}
	return learned
}

// Acknowledge records that another host has acknowledged this one.
func (f *Fleet) Acknowledge(by string) { f.acknowledgedBy[by] = true }

// Find returns a known host by name.
func (f *Fleet) Find(name string, now time.Duration) (Host, bool) {
	hosts := f.hosts(now)
	if i := slices.IndexFunc(hosts, func(h Host) bool { return h.Name == name }); i >= 0 {
		return hosts[i], true
	}
	return Host{}, false
}

// Place returns the placement of a team, and the counters whose acknowledgement this
// host needs before it counts the team itself.
func (f *Fleet) Place(team string, l Limit, t Tolerance, now time.Duration) (p Placement, unacknowledged []string) {
	hosts := f.hosts(now)
	p = Place(team, l, t, hosts, f.self)
	if now >= f.joiningUntil || p.Counters[0] != f.self.Name {
		return p, nil
	}
	earlier := f.CountersWithout(f.self.Name, team, l, t, now)
	for _, name := range earlier {
		grantsTheSame := slices.Contains(p.Counters, name) && len(p.Counters) == len(earlier)
		if !grantsTheSame && !f.acknowledgedBy[name] {
			unacknowledged = append(unacknowledged, name)
		}
	}
	if len(unacknowledged) > 0 {
		p.Counters = earlier
	}
	return p, unacknowledged
}

// CountersWithout returns the counters that a team has without one of the hosts.
func (f *Fleet) CountersWithout(name, team string, l Limit, t Tolerance, now time.Duration) []string {
	others := slices.DeleteFunc(slices.Clone(f.hosts(now)), func(h Host) bool { return h.Name == name })
	if len(others) == 0 {
		return nil
	}
	return Place(team, l, t, others, f.self).Counters
}

// ValidUntil returns the time at which a placement may change without a call to another
// method; zero for never.
func (f *Fleet) ValidUntil(now time.Duration) time.Duration {
	var until time.Duration
	if now < f.joiningUntil {
		until = f.joiningUntil
	}
	if now < f.carriedUntil && (until == 0 || f.carriedUntil < until) {
		until = f.carriedUntil
	}
	for _, h := range f.announced {
		if until == 0 || h.until < until {
			until = h.until
		}
	}
	return until
}

// hosts returns the registered, carried-over and announced hosts, or this one if it
// knows none.
func (f *Fleet) hosts(now time.Duration) []Host {
	out := f.registered
	if now < f.carriedUntil {
		for _, h := range f.carriedOver {
			if !containsHost(out, h.Name) {
				out = append(slices.Clip(out), h)
			}
		}
	}
	for name, h := range f.announced {
		if now >= h.until {
			delete(f.announced, name)
			continue
		}
		if containsHost(out, name) {
			continue
		}
		out = append(slices.Clip(out), h.Host)
	}
	if len(out) == 0 {
		return []Host{f.self}
	}
	return out
}

func containsHost(hosts []Host, name string) bool {
	return slices.ContainsFunc(hosts, func(h Host) bool { return h.Name == name })
}
