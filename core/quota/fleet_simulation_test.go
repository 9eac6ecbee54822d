package quota_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/quota"
)

const (
	// tick is the step of the simulation.
	tick = 10 * time.Millisecond
	// requestTimeout is how long a host waits for a response.
	requestTimeout = 60 * time.Millisecond
	// restartDelay is how long a process takes to restart.
	restartDelay = 500 * time.Millisecond
	team         = "schools"
)

// brokenRule is a rule of the protocol that a simulation breaks on purpose.
type brokenRule string

const (
	noneBroken brokenRule = ""
	// allowanceRefillsWithTime restores a host's allowance once a second.
	allowanceRefillsWithTime brokenRule = "a host's allowance is restored with time"
	// lateResponsesUsed admits operations from late and duplicate responses.
	lateResponsesUsed brokenRule = "a late or duplicate response is used"
	// unconfirmedAfterStart lets a host run operations unconfirmed right after its
	// start.
	unconfirmedAfterStart brokenRule = "a started host runs operations unconfirmed"
	// countersPerPartition has each side of a network partition choose its own
	// counters.
	countersPerPartition brokenRule = "each side of a partition has its own counters"
	// countersGrantFullLimit has each counter grant as if it were the only one.
	countersGrantFullLimit brokenRule = "each counter grants the whole limit"
	// joinsUnacknowledged has a joining host count without acknowledgements.
	joinsUnacknowledged brokenRule = "a joining host counts at once"
)

// simHost is one host of a simulated fleet.
type simHost struct {
	name    string
	limiter *quota.Limiter
	counter *quota.Counter
	fleet   *quota.Fleet
	// partition is the part of the network that the host is in.
	partition int
	// downUntil and pausedUntil are the ends of an outage and of a process pause.
	downUntil, pausedUntil time.Duration
	// hiddenUntil is the time until which the other hosts do not know its registration.
	hiddenUntil time.Duration
	// requestedAt, requestPending, sequence and wanted describe the pending request.
	requestedAt    time.Duration
	requestPending bool
	sequence       int
	wanted         int
	// remaining are the counters to which no request was sent yet, and granted is the
	// sum of the grants of the others.
	remaining []string
	granted   int
	// announcedAt is when the host last announced itself while it joins.
	announcedAt time.Duration
	// checks holds the requests to departed hosts that are not answered yet.
	checks map[string]departureCheck
}

type simMessage struct {
	from, to string
	at       time.Duration
	sequence int
	response bool
	wanted   int
	grant    quota.Grant
	// announces is set for an announcement of the sender and its acknowledgement, and
	// checks for a request to a departed host and its answer.
	announces, checks bool
}

// simFleet simulates hosts whose datagrams are delayed, lost and duplicated.
type simFleet struct {
	brokenRule brokenRule
	rng        *rand.Rand
	limit      quota.Limit
	hosts      []*simHost
	messages   []simMessage
	admittedAt []time.Duration
	now        time.Duration
	// reliable delivers each datagram once and without delay.
	reliable bool
	// duplicateRate is the share of the datagrams that arrive twice.
	duplicateRate float64
	// placements caches the placements by host.
	placements map[*simHost]quota.Placement
	// placedAt is when each of them was computed.
	placedAt map[*simHost]time.Duration
	// arrivalsPerTick is the mean number of operations that arrive at a host in a tick.
	arrivalsPerTick float64
	// registrations are set if registrations lapse.
	registrations *simRegistrations
}

func newSimFleet(rule brokenRule, seed uint64, size int, l quota.Limit, arrivalsPerTick float64) *simFleet {
	s := &simFleet{brokenRule: rule, rng: rand.New(rand.NewPCG(seed, 1)), limit: l, arrivalsPerTick: arrivalsPerTick, duplicateRate: 0.05, placements: map[*simHost]quota.Placement{}, placedAt: map[*simHost]time.Duration{}}
	for i := range size {
		h := &simHost{name: fmt.Sprint("h", i)}
		s.hosts = append(s.hosts, h)
	}
	for _, h := range s.hosts {
		s.start(h, -time.Hour)
	}
	return s
}

func (s *simFleet) start(h *simHost, at time.Duration) {
	started := at
	if s.brokenRule == unconfirmedAfterStart {
		started = -time.Hour
	}
	h.limiter, h.counter, h.requestPending = quota.NewLimiter(tolerance, started), quota.NewCounter(tolerance, at), false
	h.fleet = quota.NewFleet(s.quotaHost(h))
	h.checks = map[string]departureCheck{}
	delete(s.placements, h)
	if h.hiddenUntil >= at && s.brokenRule != joinsUnacknowledged {
		h.fleet.Join(at)
	}
}

func (s *simFleet) quotaHost(h *simHost) quota.Host {
	return quota.Host{Name: h.name, Region: fmt.Sprint("region-", slices.Index(s.hosts, h)%2)}
}

// place returns the placement as seen by a host. The hosts are in two regions.
func (s *simFleet) place(h *simHost) quota.Placement {
	if p, found := s.placements[h]; found && (s.allVisible() || s.placedAt[h] == s.now) {
		return p
	}
	var hosts []quota.Host
	for _, other := range s.hosts {
		if (s.brokenRule != countersPerPartition || other.partition == h.partition) && s.knows(h, other) {
			hosts = append(hosts, s.quotaHost(other))
		}
	}
	if h.fleet.SetRegistered(hosts, s.now) {
		h.counter.TakeOver(s.now)
	}
	p, unacknowledged := h.fleet.Place(team, s.limit, tolerance, s.now)
	if !slices.Contains(s.answeringCounters(h, p), h.name) {
		h.counter.Forget(team)
	}
	s.checkDepartures(h, p)
	s.announce(h, unacknowledged)
	s.placements[h], s.placedAt[h] = p, s.now
	return p
}

// knows reports whether a host takes another one for registered.
func (s *simFleet) knows(h, other *simHost) bool {
	if s.registrations != nil {
		return s.registrations.knows(h, other, s.now)
	}
	return other == h || s.now >= other.hiddenUntil
}

func (s *simFleet) hostsNamed(names []string) []quota.Host {
	var out []quota.Host
	for _, name := range names {
		out = append(out, s.quotaHost(s.find(name)))
	}
	return out
}

// allVisible reports whether all hosts know of each other.
func (s *simFleet) allVisible() bool {
	if s.registrations != nil {
		return false
	}
	return !slices.ContainsFunc(s.hosts, func(h *simHost) bool { return s.now <= h.hiddenUntil })
}

func (s *simFleet) find(name string) *simHost {
	return s.hosts[slices.IndexFunc(s.hosts, func(h *simHost) bool { return h.name == name })]
}

// step runs one tick.
func (s *simFleet) step() {
	s.now += tick
	s.deliver()
	for _, h := range s.hosts {
		switch {
		case s.now < h.downUntil || s.now < h.pausedUntil:
			continue
		case h.downUntil > 0:
			h.downUntil = 0
			s.start(h, s.now)
		}
		if s.brokenRule == allowanceRefillsWithTime && s.now%time.Second == 0 {
			h.limiter, h.requestPending = quota.NewLimiter(tolerance, -time.Hour), false
		}
		s.runHost(h)
	}
}

// runHost has a host accept operations and request grants.
func (s *simFleet) runHost(h *simHost) {
	p := s.place(h)
	for range s.arrivals() {
		if h.limiter.Admit(team, s.limit, p.MaxUnconfirmed, s.now).Verdict == quota.Admitted {
			s.admittedAt = append(s.admittedAt, s.now)
		}
	}
	if h.requestPending && s.now-h.requestedAt > requestTimeout {
		s.requestNext(h)
	}
	if h.requestPending {
		return
	}
	if wanted := h.limiter.NextRequest(team, s.now); wanted > 0 {
		h.requestPending, h.remaining, h.wanted, h.granted = true, p.Counters, wanted, 0
		s.requestNext(h)
	}
}

// requestNext requests from the next counter what is not granted yet, and ends the
// request if no counter is left or everything is granted.
func (s *simFleet) requestNext(h *simHost) {
	if len(h.remaining) > 0 && h.granted < h.wanted {
		h.sequence++
		h.requestedAt = s.now
		s.send(simMessage{from: h.name, to: h.remaining[0], sequence: h.sequence, wanted: h.wanted - h.granted})
		h.remaining = h.remaining[1:]
		return
	}
	h.requestPending = false
	grant := quota.Grant{Granted: h.granted}
	if h.granted < h.wanted {
		grant.RetryAfter = 20 * time.Millisecond
	}
	run, _ := h.limiter.ApplyGrant(team, grant, s.now)
	for range run {
		s.admittedAt = append(s.admittedAt, s.now)
	}
}

func (s *simFleet) arrivals() int {
	n := int(s.arrivalsPerTick)
	if s.rng.Float64() < s.arrivalsPerTick-float64(n) {
		n++
	}
	return n
}

// send queues a message with a random delay; it may be lost or duplicated.
func (s *simFleet) send(m simMessage) {
	if s.find(m.from).partition != s.find(m.to).partition {
		return
	}
	if s.reliable {
		m.at = s.now
		s.messages = append(s.messages, m)
		return
	}
	copies := 1
	switch p := s.rng.Float64(); {
	case p < 0.05:
		copies = 0
	case p < 0.05+s.duplicateRate:
		copies = 2
	}
	for range copies {
		m.at = s.now + time.Duration(s.rng.IntN(40))*time.Millisecond
		if s.rng.Float64() < 0.02 {
			m.at += time.Duration(s.rng.IntN(4000)) * time.Millisecond
		}
		s.messages = append(s.messages, m)
	}
}

func (s *simFleet) deliver() {
	due, later := []simMessage{}, []simMessage{}
	for _, m := range s.messages {
		switch to := s.find(m.to); {
		case m.at > s.now || s.now < to.pausedUntil:
			later = append(later, m)
		case s.now >= to.downUntil:
			due = append(due, m)
		}
	}
	s.messages = later
	for _, m := range due {
		switch to := s.find(m.to); {
		case m.announces:
			s.handleAnnouncement(to, m)
		case m.checks && m.response:
			s.handleDepartureAnswer(to, m)
		case m.response:
			s.handleResponse(to, m)
		default:
			s.handleRequest(to, m)
		}
	}
}

// handleRequest answers a request for a grant, or a departure check, which is a request
// for no operations.
func (s *simFleet) handleRequest(h *simHost, m simMessage) {
	p := s.place(h)
	answering := s.answeringCounters(h, p)
	grant := quota.Grant{RetryAfter: requestTimeout}
	switch {
	case slices.Contains(answering, h.name):
		allotment := quota.AllotmentOf(h.name, answering, h.fleet.Losses(team, s.limit, tolerance, s.now), s.leaseOf(h))
		if s.brokenRule == countersGrantFullLimit {
			allotment = quota.EvenAllotment(1)
		}
		grant = h.counter.Acquire(team, s.limit, allotment, m.wanted, s.now)
	case !h.fleet.Suspended(s.now):
		grant.Counters = s.hostsNamed(p.Counters)
		h.fleet.Decline(s.now)
	}
	s.send(simMessage{from: h.name, to: m.from, sequence: m.sequence, response: true, checks: m.checks, grant: grant})
}

// answeringCounters returns the counters by which a host answers requests.
func (s *simFleet) answeringCounters(h *simHost, p quota.Placement) []string {
	return h.fleet.AnsweringCounters(p, team, s.limit, tolerance, s.now)
}

func (s *simFleet) handleResponse(h *simHost, m simMessage) {
	late := !h.requestPending || m.sequence != h.sequence || s.now-h.requestedAt > requestTimeout
	if late && s.brokenRule == lateResponsesUsed {
		for range m.grant.Granted {
			s.admittedAt = append(s.admittedAt, s.now)
		}
	}
	if late {
		return
	}
	h.granted += m.grant.Granted
	h.fleet.ConfirmDeparture(m.from, team, len(m.grant.Counters) == 0, s.now)
	h.fleet.Learn(m.grant.Counters, s.now)
	delete(s.placements, h)
	s.requestNext(h)
}
