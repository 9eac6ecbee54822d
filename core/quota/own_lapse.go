package quota

import "time"

// lapsePeriod is the time within which registrations count as lapsed together with
// this host's own.
const lapsePeriod = 3 * time.Second

// neverLapsed is the value of Fleet.lapsedAt while this host is registered, and before it
// is registered for the first time.
const neverLapsed time.Duration = -1

// updateOwnLapse decides whether this host goes on counting without a registration, and
// has it join when it is registered again after others may have replaced it. It reports
// whether the host joins.
func (f *Fleet) updateOwnLapse(replaceable bool, now time.Duration) (joins bool) {
	switch {
	case f.lapsedAt == neverLapsed:
		return false
	case f.isRegistered(f.self.Name):
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
