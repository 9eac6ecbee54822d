package quota

import (
	"slices"
	"time"
)

const (
	// joinPeriod is how long a host counts as joining, how long an announced host is kept
	// without its registration, and how long a departed host is remembered. It exceeds the
	// time that a registration takes to reach all hosts that have contact with the store.
	joinPeriod = 10 * time.Second
	// lapsePeriod is the time within which registrations count as lapsed together with
	// this host's own.
	lapsePeriod = 3 * time.Second
	// departureCheckInterval is the time after which a departed host that has answered is
	// asked again. It learns of the end of its registration within about a second.
	departureCheckInterval = 500 * time.Millisecond
)

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

// neverLapsed is the value of Fleet.lapsedAt while this host is registered, and before it
// is registered for the first time.
const neverLapsed time.Duration = -1

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
	for name, d := range f.departed {
		if now >= d.until {
			delete(f.departed, name)
		}
	}
	for _, h := range f.registered {
		if !containsHost(hosts, h.Name) {
			takesOver = takesOver || h.Name != f.self.Name
			f.removeRegistration(h, now)
		}
	}
	f.registered = hosts
	for _, h := range hosts {
		delete(f.announced, h.Name)
		delete(f.departed, h.Name)
		if _, known := f.registeredSince[h.Name]; !known {
			f.registeredSince[h.Name] = now
		}
	}
	return f.updateOwnLapse(replaceable, now) || takesOver
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

// updateOwnLapse decides whether this host goes on counting without a registration, and
// has it join when it is registered again after others may have replaced it. It reports
// whether the host joins.
func (f *Fleet) updateOwnLapse(replaceable bool, now time.Duration) (joins bool) {
	switch {
	case f.lapsedAt == neverLapsed:
		return false
	case containsHost(f.registered, f.self.Name):
		f.lapsedAt, f.countsUntil = neverLapsed, 0
		if replaceable {
			f.Join(now)
		}
		return replaceable
	case f.lapsesWithOthers(now):
		return f.resume(now)
	case now >= f.countsUntil && len(f.registered) > 0:
		f.countsUntil = 0
	}
	return false
}

// lapsesWithOthers reports whether this host's registration has ended a short time ago and
// no other one has lasted, while this host does not count.
func (f *Fleet) lapsesWithOthers(now time.Duration) bool {
	return !f.leaving && now-f.lapsedAt < lapsePeriod && now >= f.countsUntil && !f.hasLastingRegistration(now)
}

// resume has this host count without a registration, and the others that have lapsed in
// the same outage with it. It reports whether this host has to join, because it has
// declined meanwhile.
func (f *Fleet) resume(now time.Duration) (joins bool) {
	f.countsUntil = now + lapsePeriod
	for _, d := range f.departed {
		d.state = unconfirmed
		clear(d.replacedFor)
	}
	if f.declined {
		f.Join(now)
		return true
	}
	return false
}

// hasLastingRegistration reports whether a registration has lasted through the last
// lapsePeriod.
func (f *Fleet) hasLastingRegistration(now time.Duration) bool {
	for _, since := range f.registeredSince {
		if now-since >= lapsePeriod {
			return true
		}
	}
	return false
}

// counts reports whether this host is among the hosts that may count teams.
func (f *Fleet) counts(now time.Duration) bool {
	return f.lapsedAt == neverLapsed || now < f.countsUntil || (f.countsUntil > 0 && len(f.registered) == 0)
}

// Leave records that this host ends its registration itself.
func (f *Fleet) Leave() {
	f.leaving = true
	f.countsUntil = 0
}

// Join records that this host has just registered without having been registered before.
func (f *Fleet) Join(now time.Duration) {
	f.joiningUntil = now + joinPeriod
	f.declined = false
	clear(f.acknowledgedBy)
}

// Suspended reports whether this host has lost its registration a short time ago. It goes
// on granting what other hosts request, as they do not count in its place yet, and
// requests its own operations from the other counters. It resumes if the other
// registrations lapse as well, or if it has registered again in time.
func (f *Fleet) Suspended(now time.Duration) bool {
	return !f.counts(now) && !f.declined && !f.leaving && now-f.lapsedAt < lapsePeriod
}

// Decline records that this host has answered that it does not count. It has no effect
// while the host counts some teams.
func (f *Fleet) Decline(now time.Duration) { f.declined = f.declined || !f.counts(now) }

// DepartedCounters returns the departed counters in a team's placement that have to be
// asked whether they still count. One that has answered is asked again if this host would
// count in its place or grant a larger share.
func (f *Fleet) DepartedCounters(p Placement, team string, l Limit, t Tolerance, now time.Duration) []Host {
	var out []Host
	for _, name := range p.Counters {
		d, departed := f.departed[name]
		if departed && (d.state == unconfirmed || (d.answerExpired(now) && f.wouldCount(team, l, t, now))) {
			out = append(out, d.Host)
		}
	}
	return out
}

// wouldCount reports whether this host would count a team if no departed host did.
func (f *Fleet) wouldCount(team string, l Limit, t Tolerance, now time.Duration) bool {
	return slices.Contains(Place(team, l, t, f.present(now), f.self).Counters, f.self.Name)
}

// ConfirmDeparture records the answer of a departed host: whether it counts a team. It
// reports whether the answer removes a counter.
func (f *Fleet) ConfirmDeparture(name, team string, counts bool, now time.Duration) bool {
	d, departed := f.departed[name]
	if !departed {
		return false
	}
	d.checkedAt, d.state = now, alive
	if counts {
		d.until = now + joinPeriod
		return false
	}
	known := d.replacedFor[team]
	d.replacedFor[team] = true
	return !known
}

// ConfirmGone records that a host did not answer. It reports whether it was a departed
// one that counted as present until now.
func (f *Fleet) ConfirmGone(name string) bool {
	d, departed := f.departed[name]
	if !departed || d.state == gone {
		return false
	}
	d.state = gone
	return true
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

// FindCounter returns a present or departed host by name.
func (f *Fleet) FindCounter(name string, now time.Duration) (Host, bool) {
	if d, departed := f.departed[name]; departed && now < d.until {
		return d.Host, true
	}
	return f.Find(name, now)
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
	return Place(team, l, t, append(slices.Clip(f.hosts(team, now)), f.self), f.self).Counters
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
	var until time.Duration
	if now < f.joiningUntil {
		until = f.joiningUntil
	}
	if now < f.countsUntil && (until == 0 || f.countsUntil < until) {
		until = f.countsUntil
	}
	for _, h := range f.announced {
		if until == 0 || h.until < until {
			until = h.until
		}
	}
	for _, d := range f.departed {
		if now < d.until && (until == 0 || d.until < until) {
			until = d.until
		}
	}
	return until
}

// hosts returns the hosts that may count a team: those that are present, and departed
// ones that may not have stopped.
func (f *Fleet) hosts(team string, now time.Duration) []Host {
	out := f.others(now)
	for name, d := range f.departed {
		if d.mayCount(team, now) && !containsHost(out, name) {
			out = append(slices.Clip(out), d.Host)
		}
	}
	return f.withSelf(out, now)
}

// present returns the hosts without the departed ones.
func (f *Fleet) present(now time.Duration) []Host { return f.withSelf(f.others(now), now) }

// withSelf adds this host to others if it counts without registration, or knows no other.
func (f *Fleet) withSelf(hosts []Host, now time.Duration) []Host {
	if len(hosts) == 0 || (f.lapsedAt != neverLapsed && f.counts(now)) {
		return append(slices.Clip(hosts), f.self)
	}
	return hosts
}

// others returns the registered and announced hosts.
func (f *Fleet) others(now time.Duration) []Host {
	out := f.registered
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
	return out
}

func containsHost(hosts []Host, name string) bool {
	return slices.ContainsFunc(hosts, func(h Host) bool { return h.Name == name })
}
