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
	// allowanceReturns gives a host its allowance back once a second.
	allowanceReturns flaw = "a host's allowance comes back with time"
	// lateAnswersCount runs what an answer grants however late it is.
	lateAnswersCount flaw = "a late or repeated answer is used"
	// unconfirmedAtOnce lets a host run operations unconfirmed as soon as it has started.
	unconfirmedAtOnce flaw = "a host that starts runs operations unconfirmed"
	// everySideCounts has each side of a cut fleet choose a counter of its own.
	everySideCounts flaw = "each side of a cut has a counter"
	// eachGrantsAll has each counter grant as if it were the only one.
	eachGrantsAll flaw = "each counter grants the whole limit"
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
	// unheardUntil is until when the others do not know that it has registered.
	unheardUntil time.Duration
	// asked is the request under way.
	asked    time.Duration
	asking   bool
	sequence int
	wanted   int
	// left are the counters that it has not asked yet, and granted is what the others
	// have granted.
	left    []string
	granted int
}

type simMessage struct {
	from, to string
	at       time.Duration
	sequence int
	answer   bool
	wanted   int
	grant    quota.Grant
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
	// repeats is the share of the datagrams that arrive twice.
	repeats float64
	// placed are the placements that the hosts have worked out.
	placed map[*simHost]quota.Placement
	// demand is how many operations a host is asked for in a tick, in the mean.
	demand float64
}

func newSimFleet(f flaw, seed uint64, size int, l quota.Limit, demand float64) *simFleet {
	s := &simFleet{flaw: f, rng: rand.New(rand.NewPCG(seed, 1)), limit: l, demand: demand, repeats: 0.05, placed: map[*simHost]quota.Placement{}}
	for i := range size {
		h := &simHost{name: fmt.Sprint("h", i)}
		s.start(h, -time.Hour)
		s.hosts = append(s.hosts, h)
	}
	return s
}

func (s *simFleet) start(h *simHost, at time.Duration) {
	started := at
	if s.flaw == unconfirmedAtOnce {
		started = -time.Hour
	}
	h.meter, h.counter, h.asking = quota.NewMeter(tolerance, started), quota.NewCounter(tolerance, at), false
}

// place returns who counts, as a host sees it. Its hosts are of two regions.
func (s *simFleet) place(h *simHost) quota.Placement {
	if p, found := s.placed[h]; found && s.agreed() {
		return p
	}
	var hosts []quota.Host
	var self quota.Host
	for i, other := range s.hosts {
		o := quota.Host{Name: other.name, Region: fmt.Sprint("region-", i%2)}
		if other == h {
			self = o
		}
		if (s.flaw != everySideCounts || other.side == h.side) && (other == h || s.now >= other.unheardUntil) {
			hosts = append(hosts, o)
		}
	}
	p := quota.Place(team, s.limit, tolerance, hosts, self)
	s.placed[h] = p
	return p
}

// agreed reports whether all hosts know of each other.
func (s *simFleet) agreed() bool {
	return !slices.ContainsFunc(s.hosts, func(h *simHost) bool { return s.now <= h.unheardUntil })
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
		if s.flaw == allowanceReturns && s.now%time.Second == 0 {
			h.meter, h.asking = quota.NewMeter(tolerance, -time.Hour), false
		}
		s.play(h)
	}
}

// play has a host take operations and ask for them.
func (s *simFleet) play(h *simHost) {
	p := s.place(h)
	for range s.arrivals() {
		if h.meter.Admit(team, s.limit, p.MaxUnconfirmed, s.now).Verdict == quota.Admitted {
			s.runs = append(s.runs, s.now)
		}
	}
	if h.asking && s.now-h.asked > answerTime {
		s.askNext(h)
	}
	if h.asking {
		return
	}
	if wanted := h.meter.Request(team, s.now); wanted > 0 {
		h.asking, h.left, h.wanted, h.granted = true, p.Counters, wanted, 0
		s.askNext(h)
	}
}

// askNext asks the next counter for what is not granted yet, and settles where there
// is none.
func (s *simFleet) askNext(h *simHost) {
	if len(h.left) > 0 && h.granted < h.wanted {
		h.sequence++
		h.asked = s.now
		s.send(simMessage{from: h.name, to: h.left[0], sequence: h.sequence, wanted: h.wanted - h.granted})
		h.left = h.left[1:]
		return
	}
	h.asking = false
	grant := quota.Grant{Granted: h.granted}
	if h.granted < h.wanted {
		grant.RetryAfter = 20 * time.Millisecond
	}
	run, _ := h.meter.TakeGrant(team, grant, s.now)
	for range run {
		s.runs = append(s.runs, s.now)
	}
}

func (s *simFleet) arrivals() int {
	n := int(s.demand)
	if s.rng.Float64() < s.demand-float64(n) {
		n++
	}
	return n
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
	case p < 0.05+s.repeats:
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
			s.grant(s.find(m.to), m)
		}
	}
}

func (s *simFleet) grant(h *simHost, m simMessage) {
	p := s.place(h)
	grant := quota.Grant{RetryAfter: answerTime}
	if slices.Contains(p.Counters, h.name) {
		counters := len(p.Counters)
		if s.flaw == eachGrantsAll {
			counters = 1
		}
		grant = h.counter.Acquire(team, s.limit, counters, m.wanted, s.now)
	}
	s.send(simMessage{from: h.name, to: m.from, sequence: m.sequence, answer: true, grant: grant})
}

func (s *simFleet) answered(h *simHost, m simMessage) {
	late := !h.asking || m.sequence != h.sequence || s.now-h.asked > answerTime
	if late && s.flaw == lateAnswersCount {
		for range m.grant.Granted {
			s.runs = append(s.runs, s.now)
		}
	}
	if late {
		return
	}
	h.granted += m.grant.Granted
	s.askNext(h)
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
	clear(s.placed)
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
	small := limitOf(40, 40)
	for _, p := range []struct {
		flaw    flaw
		limit   quota.Limit
		mishaps []mishap
	}{
		{allowanceReturns, small, befall(mishap{at: 5 * time.Second, kind: "cut off"})},
		{lateAnswersCount, small, nil},
		{unconfirmedAtOnce, limitOf(200, 200), again(befall(mishap{at: 5 * time.Second, kind: "kill"}), restartTime+50*time.Millisecond)},
		{everySideCounts, small, []mishap{{at: 6 * time.Second, kind: "cut", host: 0}}},
		{eachGrantsAll, small, nil},
	} {
		t.Run(string(p.flaw), func(t *testing.T) {
			broken := false
			for seed := range uint64(20) {
				healthy, flawed := newSimFleet(none, seed, flawedSize, p.limit, 4), newSimFleet(p.flaw, seed, flawedSize, p.limit, 4)
				// What is lost is not granted again, and would hide the flaw.
				healthy.calm, flawed.calm = p.flaw != lateAnswersCount, p.flaw != lateAnswersCount
				healthy.repeats, flawed.repeats = 0.5, 0.5
				healthy.play20(p.mishaps)
				flawed.play20(p.mishaps)
				require.LessOrEqual(t, float64(busiest(healthy.runs)), bound(p.limit, tolerance))
				broken = broken || float64(busiest(flawed.runs)) > bound(p.limit, tolerance)
			}
			require.True(t, broken, "the check does not notice that %s", p.flaw)
		})
	}
}

// flawedSize is the size of the fleets whose rules are broken.
const flawedSize = 8

// befall has a mishap befall all hosts but the counters.
func befall(m mishap) []mishap {
	s := newSimFleet(none, 0, flawedSize, quota.Limit{}, 0)
	counters := s.place(s.hosts[0]).Counters
	var out []mishap
	for i, h := range s.hosts {
		if !slices.Contains(counters, h.name) {
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
