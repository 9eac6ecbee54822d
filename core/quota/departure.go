package quota

import (
	"slices"
	"time"
)

// departureCheckInterval is the time after which a departed host that has answered is
// asked again. It learns of the end of its registration within about a second.
const departureCheckInterval = 500 * time.Millisecond

// departureState says whether a host without registration may still count teams.
type departureState uint8

const (
	// unconfirmed is the state until the host has answered, or has not answered.
	unconfirmed departureState = iota
	// alive means that the host has answered that it counts a team.
	alive
	// gone means that the host did not answer.
	gone
)

// departure is a host whose registration has ended while another host's view of the
// fleet lasted. A registration ends when its host stops, dies or is cut off from the
// store, and also when an outage of the store is longer than the lease: then the host
// goes on. Only the host itself knows whether it counts.
type departure struct {
	Host
	state departureState
	// at is when the registration ended.
	at time.Duration
	// until is the end of the time for which the departure is remembered.
	until time.Duration
	// checkedAt is when the host was last asked.
	checkedAt time.Duration
	// replacedFor holds the teams that the host has said it does not count.
	replacedFor map[string]bool
}

func newDeparture(h Host, now time.Duration) *departure {
	return &departure{Host: h, at: now, until: now + joinPeriod, replacedFor: map[string]bool{}}
}

// mayCount reports whether the host may be counting a team.
func (d *departure) mayCount(team string, now time.Duration) bool {
	return now < d.until && d.state != gone && !d.replacedFor[team]
}

// forgotten reports whether nothing depends on the departure any more.
func (d *departure) forgotten(now time.Duration) bool {
	return now >= d.until && now >= d.at+lossMemory
}

// answerExpired reports whether the last answer is too old to rely on.
func (d *departure) answerExpired(now time.Duration) bool {
	return now-d.checkedAt >= departureCheckInterval
}

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

// FindCounter returns a present or departed host by name.
func (f *Fleet) FindCounter(name string, now time.Duration) (Host, bool) {
	if d, departed := f.departed[name]; departed && now < d.until {
		return d.Host, true
	}
	return f.Find(name, now)
}
