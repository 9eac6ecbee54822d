package quota_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/quota"
)

const (
	// tick is the step of a simulated fleet, answerTime how long one of its hosts
	// waits for an answer, and restartTime how long a process takes to come back.
	tick        = 10 * time.Millisecond
	answerTime  = 60 * time.Millisecond
	restartTime = 500 * time.Millisecond
	team        = "schools"
)

// flaw is a rule of the fleet that is broken on purpose.
type flaw string

// The flaws. The fleet without one keeps the bound.
const (
	none flaw = ""
	// reserveReturns gives a host its reserve back once a second.
	reserveReturns flaw = "a host's reserve comes back with time"
	// lateAnswersCount runs what an answer pays for however late it is.
	lateAnswersCount flaw = "a late answer is used"
	// aheadAtOnce lets a host run ahead as soon as it has started.
	aheadAtOnce flaw = "a host that starts runs ahead"
	// everySideCounts has each side of a cut fleet choose a counter of its own.
	everySideCounts flaw = "each side of a cut has a counter"
	// deputyPaysAll has the deputy pay as much as the counter.
	deputyPaysAll flaw = "the deputy pays the whole limit"
)

// simHost is one host of a simulated fleet.
type simHost struct {
	name    string
	meter   *quota.Meter
	counter *quota.Counter
	// side is the part of the fleet that it reaches.
	side int
	// downUntil and frozenUntil are until when it is dead, or stands still.
	downUntil, frozenUntil time.Duration
	// asked is the question under way.
	asked    time.Duration
	asking   bool
	sequence int
	target   string
	wanted   int
}

type simMessage struct {
	from, to string
	at       time.Duration
	sequence int
	answer   bool
	wanted   int
	payment  quota.Payment
}

// simFleet plays hosts whose datagrams are late, lost and repeated.
type simFleet struct {
	flaw     flaw
	rng      *rand.Rand
	limit    quota.Limit
	hosts    []*simHost
	messages []simMessage
	runs     []time.Duration
	now      time.Duration
	// calm delivers each datagram once and at once.
	calm bool
	// demand is how many operations a host is asked for in a tick, in the mean.
	demand float64
}

func newSimFleet(f flaw, seed uint64, size int, l quota.Limit, demand float64) *simFleet {
	s := &simFleet{flaw: f, rng: rand.New(rand.NewPCG(seed, 1)), limit: l, demand: demand}
	for i := range size {
		h := &simHost{name: fmt.Sprint("h", i)}
		s.start(h, -time.Hour)
		s.hosts = append(s.hosts, h)
	}
	return s
}

func (s *simFleet) start(h *simHost, at time.Duration) {
	started := at
	if s.flaw == aheadAtOnce {
		started = -time.Hour
	}
	h.meter, h.counter, h.asking = quota.NewMeter(tolerance, started), quota.NewCounter(tolerance, at), false
}

func (s *simFleet) names(side int) []string {
	var out []string
	for _, h := range s.hosts {
		if s.flaw != everySideCounts || h.side == side {
			out = append(out, h.name)
		}
	}
	return out
}

func (s *simFleet) find(name string) *simHost {
	return s.hosts[slices.IndexFunc(s.hosts, func(h *simHost) bool { return h.name == name })]
}

// step plays one tick.
func (s *simFleet) step() {
	s.now += tick
	s.deliver()
	for _, h := range s.hosts {
		switch {
		case s.now < h.downUntil || s.now < h.frozenUntil:
			continue
		case h.downUntil > 0:
			h.downUntil = 0
			s.start(h, s.now)
		}
		if s.flaw == reserveReturns && s.now%time.Second == 0 {
			h.meter, h.asking = quota.NewMeter(tolerance, -time.Hour), false
		}
		s.play(h)
	}
}

// play has a host take operations and ask for them.
func (s *simFleet) play(h *simHost) {
	p := quota.Place(team, s.limit, tolerance, s.names(h.side), h.name)
	for range s.arrivals() {
		if h.meter.Admit(team, s.limit, p.Ahead, s.now).Verdict == quota.Admitted {
			s.runs = append(s.runs, s.now)
		}
	}
	if h.asking && s.now-h.asked > answerTime && s.flaw != lateAnswersCount {
		s.giveUp(h, p)
	}
	if h.asking {
		return
	}
	if wanted := h.meter.Question(team, s.now); wanted > 0 {
		h.asking = true
		s.ask(h, p.Counter, wanted)
	}
}

// giveUp asks the deputy next, or nobody.
func (s *simFleet) giveUp(h *simHost, p quota.Placement) {
	if h.target == p.Counter && p.Deputy != "" {
		s.ask(h, p.Deputy, h.wanted)
		return
	}
	h.asking = false
	h.meter.Unanswered(team, s.now)
}

func (s *simFleet) arrivals() int {
	n := int(s.demand)
	if s.rng.Float64() < s.demand-float64(n) {
		n++
	}
	return n
}

func (s *simFleet) ask(h *simHost, target string, wanted int) {
	h.sequence++
	h.asked, h.target, h.wanted = s.now, target, wanted
	s.send(simMessage{from: h.name, to: target, sequence: h.sequence, wanted: wanted})
}

// send delivers a message late, twice or not at all.
func (s *simFleet) send(m simMessage) {
	if s.find(m.from).side != s.find(m.to).side {
		return
	}
	if s.calm {
		m.at = s.now
		s.messages = append(s.messages, m)
		return
	}
	copies := 1
	switch p := s.rng.Float64(); {
	case p < 0.05:
		copies = 0
	case p < 0.1:
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
		case m.at > s.now || s.now < to.frozenUntil:
			later = append(later, m)
		case s.now >= to.downUntil:
			due = append(due, m)
		}
	}
	s.messages = later
	for _, m := range due {
		if m.answer {
			s.answered(s.find(m.to), m)
		} else {
			s.pay(s.find(m.to), m)
		}
	}
}

func (s *simFleet) pay(h *simHost, m simMessage) {
	p := quota.Place(team, s.limit, tolerance, s.names(h.side), h.name)
	var payment quota.Payment
	switch {
	case h.name == p.Counter, h.name == p.Deputy && s.flaw == deputyPaysAll:
		payment = h.counter.Pay(team, s.limit, m.wanted, s.now)
	case h.name == p.Deputy:
		payment = h.counter.PayAsDeputy(team, s.limit, m.wanted, s.now)
	default:
		payment.RetryAfter = answerTime
	}
	s.send(simMessage{from: h.name, to: m.from, sequence: m.sequence, answer: true, payment: payment})
}

func (s *simFleet) answered(h *simHost, m simMessage) {
	late := !h.asking || m.sequence != h.sequence || s.now-h.asked > answerTime
	if late && s.flaw != lateAnswersCount {
		return
	}
	h.asking = false
	run, _ := h.meter.Answered(team, m.payment, s.now)
	if late {
		run = m.payment.Paid
	}
	for range run {
		s.runs = append(s.runs, s.now)
	}
}

// mishap is something that happens to a simulated fleet.
type mishap struct {
	at   time.Duration
	kind string
	host int
	long time.Duration
}

// strike has a mishap happen.
func (s *simFleet) strike(m mishap) {
	h := s.hosts[m.host%len(s.hosts)]
	switch m.kind {
	case "kill":
		h.downUntil = s.now + restartTime + m.long
	case "kill all":
		for _, h := range s.hosts {
			h.downUntil = s.now + restartTime + m.long
		}
	case "freeze":
		h.frozenUntil = s.now + m.long
	case "cut":
		for i, h := range s.hosts {
			h.side = (i + m.host) % 2
		}
	case "cut off":
		h.side = m.host + 2
	case "heal":
		for _, h := range s.hosts {
			h.side = 0
		}
	}
}

// play20 plays the fleet for twenty seconds with mishaps.
func (s *simFleet) play20(mishaps []mishap) {
	for s.now < 20*time.Second {
		for _, m := range mishaps {
			if m.at > s.now && m.at <= s.now+tick {
				s.strike(m)
			}
		}
		s.step()
	}
}

func drawMishaps(t *rapid.T) []mishap {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) mishap {
		return mishap{
			at:   time.Duration(rapid.IntRange(0, 19000).Draw(t, "at")) * time.Millisecond,
			kind: rapid.SampledFrom([]string{"kill", "kill all", "freeze", "cut", "cut off", "heal"}).Draw(t, "kind"),
			host: rapid.IntRange(0, 20).Draw(t, "host"),
			long: time.Duration(rapid.IntRange(0, 4000).Draw(t, "long")) * time.Millisecond,
		}
	}), 0, 8).Draw(t, "mishaps")
}

// TestFleetKeepsTheLimit: a team asks for many times its limit, and hosts are
// killed, stand still, are cut off and cut in two, while datagrams are late, lost and
// repeated. No window is over the limit and its tolerance.
func TestFleetKeepsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limitOf(rapid.Float64Range(0, 60).Draw(t, "rate"), rapid.Float64Range(0, 60).Draw(t, "burst"))
		s := newSimFleet(none, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 9).Draw(t, "hosts"), l, rapid.Float64Range(0.05, 1).Draw(t, "demand"))
		s.play20(drawMishaps(t))
		if most := busiest(s.runs); float64(most) > bound(l, tolerance) {
			t.Fatalf("%d in a window, %.0f allowed", most, bound(l, tolerance))
		}
	})
}

// TestEachRuleOfTheFleetIsNeeded: with one rule broken on purpose, the same kind of
// play exceeds the limit.
func TestEachRuleOfTheFleetIsNeeded(t *testing.T) {
	plays := map[flaw][]mishap{
		reserveReturns:   befall(mishap{at: 5 * time.Second, kind: "cut off"}, false),
		lateAnswersCount: {},
		aheadAtOnce:      again(befall(mishap{at: 5 * time.Second, kind: "kill"}, false), 700*time.Millisecond),
		everySideCounts:  {{at: 6 * time.Second, kind: "cut", host: 0}},
		deputyPaysAll:    befall(mishap{at: 6 * time.Second, kind: "cut off"}, true),
	}
	for f, mishaps := range plays {
		t.Run(string(f), func(t *testing.T) {
			broken := false
			for seed := range uint64(20) {
				healthy, flawed := newSimFleet(none, seed, flawedSize, flawedLimit, 1), newSimFleet(f, seed, flawedSize, flawedLimit, 1)
				// What is lost is not paid for again, and would hide the flaw.
				healthy.calm, flawed.calm = f != lateAnswersCount, f != lateAnswersCount
				healthy.play20(mishaps)
				flawed.play20(mishaps)
				require.LessOrEqual(t, float64(busiest(healthy.runs)), bound(flawedLimit, tolerance))
				broken = broken || float64(busiest(flawed.runs)) > bound(flawedLimit, tolerance)
			}
			require.True(t, broken, "the check does not notice that %s", f)
		})
	}
}

// flawedSize and flawedLimit are of the fleets whose rules are broken.
const flawedSize = 8

var flawedLimit = limitOf(40, 40)

// befall has a mishap befall the counter, or all other hosts.
func befall(m mishap, theCounter bool) []mishap {
	s := newSimFleet(none, 0, flawedSize, flawedLimit, 0)
	counter := quota.Place(team, flawedLimit, tolerance, s.names(0), "").Counter
	var out []mishap
	for i, h := range s.hosts {
		if (h.name == counter) == theCounter {
			m.host = i
			out = append(out, m)
		}
	}
	return out
}

// again has mishaps happen ten times.
func again(mishaps []mishap, pause time.Duration) []mishap {
	var out []mishap
	for i := range 10 {
		for _, m := range mishaps {
			m.at += time.Duration(i) * pause
			out = append(out, m)
		}
	}
	return out
}
