package quota

import "time"

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
	// until is the end of the time for which the departure is remembered.
	until time.Duration
	// checkedAt is when the host was last asked.
	checkedAt time.Duration
	// replacedFor holds the teams that the host has said it does not count.
	replacedFor map[string]bool
}

func newDeparture(h Host, now time.Duration) *departure {
	return &departure{Host: h, until: now + joinPeriod, replacedFor: map[string]bool{}}
}

// mayCount reports whether the host may be counting a team.
func (d *departure) mayCount(team string, now time.Duration) bool {
	return now < d.until && d.state != gone && !d.replacedFor[team]
}

// answerExpired reports whether the last answer is too old to rely on.
func (d *departure) answerExpired(now time.Duration) bool {
	return now-d.checkedAt >= departureCheckInterval
}
