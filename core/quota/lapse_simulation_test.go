package quota_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/quota"
)

// lapse is the time during which a host runs without a registration.
type lapse struct{ from, until time.Duration }

// simRegistrations says which registrations a host of a simulated fleet has heard of. A
// host without an entry in lapses stays registered.
type simRegistrations struct {
	lapses map[*simHost]lapse
	// delays holds how late each host hears of changes. A watch delivers them in order.
	delays map[*simHost]time.Duration
	// unreachedUntil is the time until which a host on the side of a partition without the
	// store hears of no change.
	unreachedUntil map[*simHost]time.Duration
	// storeDown is set if registrations lapse because no host reaches the store.
	storeDown bool
}

// leaseOf returns the state of a host's lease.
func (s *simFleet) leaseOf(h *simHost) quota.LeaseState {
	if s.registrations == nil {
		return quota.LeaseValid
	}
	l, lapses := s.registrations.lapses[h]
	if !lapses || s.now >= l.until {
		return quota.LeaseValid
	}
	return quota.StateOfLease(l.from, quota.Contact{FleetWithoutStore: s.registrations.storeDown}, s.now)
}

// knows reports whether an observer takes a host for registered. It learns of its own
// registration at once, and of everything else late.
func (r *simRegistrations) knows(observer, other *simHost, now time.Duration) bool {
	l, lapses := r.lapses[other]
	if !lapses || now < r.unreachedUntil[observer] {
		return true
	}
	delay := r.delays[observer]
	if observer == other && now >= l.until {
		return true
	}
	return now < l.from+delay || now >= l.until+delay
}

// lapseScenario describes registrations that end while their hosts go on.
type lapseScenario struct {
	// lasting is the number of hosts whose registrations last.
	lasting int
	// spread is the time from the first to the last end of a registration.
	spread time.Duration
	// maxAbsence bounds the time from a registration's end to the next one.
	maxAbsence time.Duration
	// maxDelay bounds the time in which a change reaches a host.
	maxDelay time.Duration
}

func (c lapseScenario) String() string {
	return fmt.Sprintf("%d last, spread %s, absence %s, delay %s", c.lasting, c.spread, c.maxAbsence, c.maxDelay)
}

// lapseStart is when the first registration of a scenario ends.
const lapseStart = 6 * time.Second

// draw returns the registrations of a fleet in a scenario.
func (c lapseScenario) draw(s *simFleet, rng *rand.Rand) *simRegistrations {
	r := &simRegistrations{lapses: map[*simHost]lapse{}, delays: map[*simHost]time.Duration{}, storeDown: true}
	order := rng.Perm(len(s.hosts))
	for i, index := range order[c.lasting:] {
		from := lapseStart
		if n := len(order) - c.lasting; n > 1 {
			from += c.spread * time.Duration(i) / time.Duration(n-1)
		}
		from = from.Truncate(tick)
		absence := c.maxAbsence/4 + time.Duration(rng.Int64N(int64(c.maxAbsence)*3/4))
		r.lapses[s.hosts[index]] = lapse{from: from, until: (from + absence).Truncate(tick)}
	}
	for _, observer := range s.hosts {
		r.delays[observer] = time.Duration(rng.Int64N(int64(c.maxDelay) + 1)).Truncate(tick)
	}
	return r
}

// lapseSeeds is the number of schedules that are played of each scenario.
var lapseSeeds = flag.Uint64("lapse-seeds", 1, "schedules to play of each scenario of lapsing registrations")

// lapseScenarios are outages of the store that end some registrations or all of them.
func lapseScenarios() []lapseScenario {
	var out []lapseScenario
	for _, lasting := range []int{0, 1} {
		for _, spread := range []time.Duration{0, 2400 * time.Millisecond, 9600 * time.Millisecond} {
			out = append(out,
				lapseScenario{lasting: lasting, spread: spread, maxAbsence: 3 * time.Second, maxDelay: 100 * time.Millisecond},
				lapseScenario{lasting: lasting, spread: spread, maxAbsence: 3 * time.Second, maxDelay: time.Second},
				lapseScenario{lasting: lasting, spread: spread, maxAbsence: 8 * time.Second, maxDelay: 100 * time.Millisecond},
			)
		}
	}
	return out
}

// mostInLapse returns the most operations in a window while registrations lapse.
func mostInLapse(c lapseScenario, seed uint64, reliable bool) int {
	s := newSimFleet(noneBroken, seed, lapseFleetSize, lapseLimit, 1)
	s.reliable = reliable
	s.registrations = c.draw(s, rand.New(rand.NewPCG(seed, 3)))
	s.run(lapseStart+c.spread+c.maxAbsence+window, nil)
	return maxInWindow(s.admittedAt)
}

// lapseFleetSize is the fleet size of the scenarios, and lapseLimit the team's limit.
const lapseFleetSize = 9

var lapseLimit = limitOf(40, 40)

// TestLapsingRegistrationsKeepTheLimit guards against counters that grant beside each
// other because some of them have lost their registrations and the hosts hear of it at
// different times.
func TestLapsingRegistrationsKeepTheLimit(t *testing.T) {
	for _, c := range lapseScenarios() {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			for seed := range *lapseSeeds {
				for _, reliable := range []bool{true, false} {
					require.LessOrEqual(t, float64(mostInLapse(c, seed, reliable)), maxOperations(lapseLimit, tolerance), "seed %d, reliable %t", seed, reliable)
				}
			}
		})
	}
}

// departureCheck is a request to a departed host that is not answered yet.
type departureCheck struct {
	sentAt   time.Duration
	attempts int
}

// maxDepartureChecks is the number of requests after which a departed host is gone.
const maxDepartureChecks = 4

// checkDepartures asks departed counters whether they still count.
func (s *simFleet) checkDepartures(h *simHost, p quota.Placement) {
	for _, departed := range h.fleet.DepartedCounters(p, team, s.limit, tolerance, s.now) {
		c, pending := h.checks[departed.Name]
		switch {
		case pending && s.now-c.sentAt <= requestTimeout:
			continue
		case pending && c.attempts == maxDepartureChecks:
			delete(h.checks, departed.Name)
			h.fleet.ConfirmGone(departed.Name)
			h.counter.TakeOver(s.now)
			continue
		}
		h.checks[departed.Name] = departureCheck{sentAt: s.now, attempts: c.attempts + 1}
		s.send(simMessage{from: h.name, to: departed.Name, checks: true})
	}
}

// handleDepartureAnswer handles the answer of a departed host.
func (s *simFleet) handleDepartureAnswer(h *simHost, m simMessage) {
	delete(h.checks, m.from)
	if h.fleet.ConfirmDeparture(m.from, team, len(m.grant.Counters) == 0, s.now) {
		h.counter.TakeOver(s.now)
	}
	delete(s.placements, h)
}

// TestDeadCounterIsReplaced covers the opposite case: the registrations of the counters
// end because they have died. Others count in their place at once.
func TestDeadCounterIsReplaced(t *testing.T) {
	const lapsed = 12 * time.Second
	s := newSimFleet(noneBroken, 1, lapseFleetSize, lapseLimit, 1)
	s.registrations = &simRegistrations{lapses: map[*simHost]lapse{}, delays: map[*simHost]time.Duration{}}
	for _, name := range s.place(s.hosts[0]).Counters {
		h := s.find(name)
		h.downUntil = time.Hour
		s.registrations.lapses[h] = lapse{from: lapsed, until: time.Hour}
	}
	s.run(lapsed+time.Second, nil)
	before := len(s.admittedAt)
	s.run(lapsed+6*time.Second, nil)
	require.Greater(t, float64(len(s.admittedAt)-before), 0.9*lapseLimit.Rate*5)
	require.LessOrEqual(t, float64(maxInWindow(s.admittedAt)), maxOperations(lapseLimit, tolerance))
}
