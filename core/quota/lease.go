package quota

import (
	"slices"
	"time"
)

// LeaseState says how sure a host is that its registration exists.
type LeaseState uint8

const (
	// LeaseValid means that the registration exists, or that there was none yet.
	LeaseValid LeaseState = iota
	// LeaseDoubtful means that the registration may have ended, but that nearly all hosts
	// have lost the store with this one, so that hardly any can have replaced it.
	LeaseDoubtful
	// LeaseLapsed means that the registration may have ended and others may have replaced
	// this host as a counter.
	LeaseLapsed
)

const (
	// doubtfulShare is the part of its share that a counter grants whose lease is in
	// doubt, and that a replacement grants beside it. A team rarely needs more than half of
	// its limit.
	doubtfulShare = 0.5
	// lossMemory is how long a host that was lost without an answer is remembered. Hosts
	// that are cut off together and are more than half of the fleet may take the store for
	// down, and go on counting.
	lossMemory = 2 * time.Minute
)

// StateOfLease returns the state of a lease that was last renewed to end at a time; zero
// for a host without one. fleetWithoutStore is set while nearly all other hosts answer and
// none of them reaches the store: nobody can see then that a registration has ended.
func StateOfLease(end time.Duration, fleetWithoutStore bool, now time.Duration) LeaseState {
	switch {
	case end == 0 || now < end:
		return LeaseValid
	case fleetWithoutStore:
		return LeaseDoubtful
	}
	return LeaseLapsed
}

// lost returns the departed hosts that did not answer and may be counting on the other
// side of a network partition. A smaller side than this one stops at the end of its leases.
func (f *Fleet) lost(now time.Duration) []Host {
	if f.isMajority(now) {
		return nil
	}
	var out []Host
	for _, d := range f.departed {
		if d.state == gone {
			out = append(out, d.Host)
		}
	}
	return out
}

// isMajority reports whether the registered hosts are at least half of the fleet as it was
// before the recent departures.
func (f *Fleet) isMajority(now time.Duration) bool {
	silent := 0
	for _, d := range f.departed {
		if d.state != alive && now < d.at+lossMemory {
			silent++
		}
	}
	return len(f.registered) >= silent
}

// CountersBeforeLosses returns the counters of a team as hosts see them that are cut off
// from this one together with some of the counters; nil if no host was lost.
func (f *Fleet) CountersBeforeLosses(team string, l Limit, t Tolerance, now time.Duration) []string {
	lost := f.lost(now)
	if len(lost) == 0 {
		return nil
	}
	return Place(team, l, t, append(lost, f.hosts(team, now)...), f.self).Counters
}

// GrantShare returns the part of a team's limit that a host may grant as one of the team's
// counters. A host that counts in the place of a lost one, which is not among the counters
// before the losses, and a counter whose lease is in doubt have half a share each, so that
// both sides of a partition together keep the limit.
func GrantShare(self string, counters, beforeLosses []string, lease LeaseState) float64 {
	if lease == LeaseLapsed {
		return 0
	}
	share := 1 / float64(max(len(counters), len(beforeLosses), 1))
	if len(beforeLosses) > 0 && !slices.Contains(beforeLosses, self) {
		share *= doubtfulShare
	}
	if lease == LeaseDoubtful {
		share *= doubtfulShare
	}
	return share
}
