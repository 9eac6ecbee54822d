package quota

import (
	"slices"
	"time"
)

// joinPeriod is how long a host counts as joining, how long an announced host is kept
// without its registration, and how long a departed host is remembered. It exceeds the
// time that a registration takes to reach all hosts that have contact with the store.
const joinPeriod = 10 * time.Second

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
// The end of a registration does not show that its host has stopped counting: an outage
// of the store that is longer than a lease ends the registrations of hosts that go on. So
// a departed host stays a counter until it has said that it does not count, or has not
// answered. A host declines lapsePeriod after it has heard that its own registration has
// ended, unless no other registration has lasted; it joins again when it has registered. A
// host that ends its registration itself declines at once.
//
// Fleet is not safe for concurrent use.
type Fleet struct {
	self       Host
	registered []Host
	// registeredSince maps the registered hosts to the time at which they were first seen.
	registeredSince map[string]time.Duration
	// announced holds hosts that were announced before their registration arrived, by
	// name, with the time until which they are kept.
	announced map[string]announcedHost
	// departed holds hosts whose registration has ended, by name.
	departed map[string]*departure
	// lapsedAt is when this host's own registration ended, or neverLapsed if it has not.
	lapsedAt time.Duration
	// countsUntil is the time until which this host counts without a registration, and
	// beyond it while no host is registered; zero if it does not.
	countsUntil time.Duration
	// declined is set once this host has answered, without a registration, that it does
	// not count: others may count in its place.
	declined bool
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

// NewFleet returns the view of a host that knows no other.
func NewFleet(self Host) *Fleet {
	return &Fleet{
		self: self, registeredSince: map[string]time.Duration{}, announced: map[string]announcedHost{}, departed: map[string]*departure{},
		acknowledgedBy: map[string]bool{}, lapsedAt: neverLapsed,
	}
}

// SetRegistered sets the registered hosts. It reports whether this host may count teams
// from now on that others have counted until now.
func (f *Fleet) SetRegistered(hosts []Host, now time.Duration) (takesOver bool) {
	replaceable := !f.counts(now) && !f.Suspended(now)
	names := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		names[h.Name] = true
	}
	for name, d := range f.departed {
		if d.forgotten(now) {
			delete(f.departed, name)
		}
	}
	for _, h := range f.registered {
		if !names[h.Name] {
			takesOver = takesOver || h.Name != f.self.Name
			f.removeRegistration(h, now)
		}
	}
	f.registered = hosts
	for _, h := range hosts {
		delete(f.announced, h.Name)
		delete(f.departed, h.Name)
		if !f.isRegistered(h.Name) {
			f.registeredSince[h.Name] = now
		}
	}
	return f.updateOwnLapse(replaceable, now) || takesOver
}

// isRegistered reports whether a host is among the registered ones.
func (f *Fleet) isRegistered(name string) bool {
	_, registered := f.registeredSince[name]
	return registered
}

// removeRegistration records that a registration has ended.
func (f *Fleet) removeRegistration(h Host, now time.Duration) {
	delete(f.registeredSince, h.Name)
	if h.Name == f.self.Name {
		f.lapsedAt = now
		return
	}
	f.departed[h.Name] = newDeparture(h, now)
}

// Join records that this host has just registered without having been registered before.
func (f *Fleet) Join(now time.Duration) {
	f.joiningUntil = now + joinPeriod
	f.declined = false
	clear(f.acknowledgedBy)
}

// Announce adds a host that announces itself before its registration has arrived. It
// reports whether the host is new here.
func (f *Fleet) Announce(h Host, now time.Duration) bool {
	if h.Name == f.self.Name || f.isRegistered(h.Name) {
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
		if d, departed := f.departed[h.Name]; !departed || now >= d.until {
			learned = f.Announce(h, now) || learned
		}
	}
	return learned
}

// Acknowledge records that another host has acknowledged this one.
func (f *Fleet) Acknowledge(by string) { f.acknowledgedBy[by] = true }

// Find returns a present host by name.
func (f *Fleet) Find(name string, now time.Duration) (Host, bool) {
	hosts := f.present(now)
	if i := slices.IndexFunc(hosts, func(h Host) bool { return h.Name == name }); i >= 0 {
		return hosts[i], true
	}
	return Host{}, false
}

// Place returns the placement of a team, and the counters whose acknowledgement this
// host needs before it counts the team itself.
func (f *Fleet) Place(team string, l Limit, t Tolerance, now time.Duration) (p Placement, unacknowledged []string) {
	hosts := f.hosts(team, now)
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

// CountersForOthers returns the counters of a team as other hosts see them while this one
// is suspended, and nil while it is not.
func (f *Fleet) CountersForOthers(team string, l Limit, t Tolerance, now time.Duration) []string {
	if !f.Suspended(now) {
		return nil
	}
	return Place(team, l, t, append(f.hosts(team, now), f.self), f.self).Counters
}

// AnsweringCounters returns the counters by which this host answers the requests of
// others: those of its placement, or those that they know while it is suspended.
func (f *Fleet) AnsweringCounters(p Placement, team string, l Limit, t Tolerance, now time.Duration) []string {
	if counters := f.CountersForOthers(team, l, t, now); counters != nil {
		return counters
	}
	return p.Counters
}

// CountersWithout returns the counters that a team has without one of the hosts.
func (f *Fleet) CountersWithout(name, team string, l Limit, t Tolerance, now time.Duration) []string {
	others := slices.DeleteFunc(slices.Clone(f.hosts(team, now)), func(h Host) bool { return h.Name == name })
	if len(others) == 0 {
		return nil
	}
	return Place(team, l, t, others, f.self).Counters
}

// ValidUntil returns the time at which a placement may change without a call to another
// method; zero for never.
func (f *Fleet) ValidUntil(now time.Duration) time.Duration {
	var first time.Duration
	consider := func(until time.Duration) {
		if now < until && (first == 0 || until < first) {
			first = until
		}
	}
	consider(f.joiningUntil)
	consider(f.countsUntil)
	for _, h := range f.announced {
		consider(h.until)
	}
	for _, d := range f.departed {
		consider(d.until)
		if d.state == gone {
			consider(d.at + lapsedPeriodOfGrants)
		}
	}
	return first
}

// hosts returns the hosts that may count a team: those that are present, and departed
// ones that may not have stopped.
func (f *Fleet) hosts(team string, now time.Duration) []Host {
	out := f.others(now)
	for name, d := range f.departed {
		if _, announced := f.announced[name]; !announced && d.mayCount(team, now) {
			out = append(out, d.Host)
		}
	}
	return f.withSelf(out, now)
}

// present returns the hosts without the departed ones.
func (f *Fleet) present(now time.Duration) []Host { return f.withSelf(f.others(now), now) }

// withSelf adds this host to others if it counts without registration, or knows no other.
func (f *Fleet) withSelf(others []Host, now time.Duration) []Host {
	if len(others) == 0 || (f.lapsedAt != neverLapsed && f.counts(now)) {
		return append(others, f.self)
	}
	return others
}

// others returns the registered and announced hosts; none is both. The slice has no
// capacity left of f.registered, so that callers may append to it.
func (f *Fleet) others(now time.Duration) []Host {
	out := slices.Clip(f.registered)
	for name, h := range f.announced {
		if now >= h.until {
			delete(f.announced, name)
			continue
		}
		out = append(out, h.Host)
	}
	return out
}
