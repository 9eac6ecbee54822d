package quota

import (
	"slices"
	"time"
)

// LeaseState says how sure a host is that its registration exists.
type LeaseState uint8

const (
	// LeaseValid means that the registration exists, that there was none yet, or that hosts
	// that see its end can reach this one.
	LeaseValid LeaseState = iota
	// LeaseDoubtful means that the registration may have ended, but that nearly all hosts
	// have lost the store with this one, so that hardly any can have replaced it.
	LeaseDoubtful
	// LeaseLapsed means that the registration may have ended and others may have replaced
	// this host as a counter.
	LeaseLapsed
	// LeaseExpired means that it may have ended longer than lapsedPeriodOfGrants ago.
	LeaseExpired
)

const (
	// doubtfulShare is the part of its share that a counter grants whose lease is in
	// doubt, and that a replacement grants beside it. A team rarely needs more than half of
	// its limit.
	doubtfulShare = 0.5
	// lapsedExcess is the part of the tolerated excess that counters grant whose leases
	// have lapsed, and that the others do not grant meanwhile. It serves most callers of
	// small teams on the smaller side of a network partition.
	lapsedExcess = 0.5
	// lapsedPeriodOfGrants is how long they do.
	lapsedPeriodOfGrants = 30 * time.Second
	// lossMemory is how long a host that was lost without an answer is remembered. Hosts
	// that are cut off together and are more than half of the fleet may take the store for
	// down, and go on counting.
	lossMemory = 2 * time.Minute
)

// Contact is what a host knows of other hosts' contact with the store.
type Contact struct {
	// Informed is set while this host hears of the store's changes, or another host answers
	// it that does. Hosts that see the end of its registration can then reach it, and ask
	// before they count in its place.
	Informed bool
	// FleetWithoutStore is set while nearly all other hosts answer and none of them reaches
	// the store. Nobody can see then that a registration has ended.
	FleetWithoutStore bool
}

// StateOfLease returns the state of a lease that was last renewed to end at a time; zero
// for a host without one.
func StateOfLease(end time.Duration, c Contact, now time.Duration) LeaseState {
	switch {
	case end == 0 || now < end || c.Informed:
		return LeaseValid
	case c.FleetWithoutStore:
		return LeaseDoubtful
	case now < end+lapsedPeriodOfGrants:
		return LeaseLapsed
	}
	return LeaseExpired
}

// Allotment is what one counter may grant of a team's limit.
type Allotment struct {
	// Limit is the part of what the limit allows, and Excess that of the tolerated excess.
	Limit, Excess float64
}

// EvenAllotment returns the allotment of each of some counters that divide a limit evenly.
func EvenAllotment(counters int) Allotment {
	share := 1 / float64(max(counters, 1))
	return Allotment{Limit: share, Excess: (1 - unconfirmedShare) * share}
}

// Losses are the counters of a team that have departed without an answer, and may be
// counting on the other side of a network partition. The zero value means none.
type Losses struct {
	// Before are the counters as hosts see them that are cut off from this one.
	Before []string
	// Minority is set if the registered hosts are fewer than those that have departed.
	Minority bool
}

// Losses returns a team's counters that were lost.
func (f *Fleet) Losses(team string, l Limit, t Tolerance, now time.Duration) Losses {
	minority := f.isMinority(now)
	var lost []Host
	for _, d := range f.departed {
		if d.state == gone && (minority || now < d.at+lapsedPeriodOfGrants) {
			lost = append(lost, d.Host)
		}
	}
	if len(lost) == 0 {
		return Losses{}
	}
	before := Place(team, l, t, append(f.hosts(team, now), lost...), f.self).Counters
	if !slices.ContainsFunc(lost, func(h Host) bool { return slices.Contains(before, h.Name) }) {
		return Losses{}
	}
	return Losses{Before: before, Minority: minority}
}

// isMinority reports whether the registered hosts are less than half of the fleet as it
// was before the recent departures.
func (f *Fleet) isMinority(now time.Duration) bool {
	silent := 0
	for _, d := range f.departed {
		if d.state != alive && now < d.at+lossMemory {
			silent++
		}
	}
	return len(f.registered) < silent
}

// AllotmentOf returns what a host may grant as one of a team's counters. The allotments on
// both sides of a network partition together keep the limit.
func AllotmentOf(self string, counters []string, lost Losses, lease LeaseState) Allotment {
	a := EvenAllotment(max(len(counters), len(lost.Before)))
	if len(lost.Before) > 0 {
		a.Excess -= lapsedExcess * a.Limit
	}
	switch {
	case lease == LeaseExpired:
		return Allotment{}
	case lease == LeaseLapsed:
		return Allotment{Excess: lapsedExcess * a.Limit}
	case lease == LeaseDoubtful:
		return a.scale(doubtfulShare)
	case lost.Minority && !slices.Contains(lost.Before, self):
		return a.scale(doubtfulShare)
	}
	return a
}

func (a Allotment) scale(factor float64) Allotment {
	return Allotment{Limit: factor * a.Limit, Excess: factor * a.Excess}
}
