package balance_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/balance"
	"github.com/dotterelswitch/dotterelswitch/core/gateload"
)

// The simulation has many hosts and two replicas with one gate or several each. Hosts learn of a
// replica's load only from their own answers, so their reports are as old as a round trip
// and the time between their statements.
const (
	simSlots, simConnections, simMaxWaiting = 4, 44, 64
	simDeadline, simObjective               = 2 * time.Second, 500 * time.Millisecond
	simFrom, simTo                          = 4 * time.Second, 16 * time.Second
)

// scenario is a load. rate is the statements per second of all hosts; slotTime is the mean
// time for which a statement occupies a slot of a replica.
type scenario struct {
	name     string
	rate     func(at time.Duration) float64
	slotTime func(replica int, at time.Duration) time.Duration
	near     func(host, replica int) bool
	// gates is how many hosts share the connections to a replica; a statement's team
	// decides which of them runs it.
	gates int
}

// ranking orders the replicas for a statement.
type ranking func(s *simulation, candidates []balance.Candidate) []balance.Candidate

func today(_ *simulation, candidates []balance.Candidate) []balance.Candidate {
	for i := range candidates {
		candidates[i].Load = nil
	}
	return balance.Rank(candidates)
}

func byLoad(s *simulation, candidates []balance.Candidate) []balance.Candidate {
	return balance.RankByLoad(candidates, s.choice)
}

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type simStatement struct {
	host, replica, gate, attempts  int
	work                           float64
	born, sent, arrived, gotConnAt time.Duration
}

// simGate holds connections to a replica.
type simGate struct {
	waiting  []*simStatement
	running  int
	holdTime time.Duration
}

// simReplica is a replica with its gates: of the statements that hold a connection, busy
// occupy a slot and the others are queued in the member.
type simReplica struct {
	gates  []simGate
	queued []*simStatement
	busy   int
}

// simView is what one host knows of one replica.
type simView struct {
	tracker      gateload.Tracker
	responseTime time.Duration
	inFlight     int
}

type simulation struct {
	scenario
	rank         ranking
	load, choice *rand.Rand
	events       simEvents
	scheduled    int
	now          time.Duration
	replicas     [2]simReplica
	hosts        [][2]simView
	// maxQueue and sumQueue are of the statements that a gate runs or lets wait, sampled
	// each millisecond.
	maxQueue, sumQueue, samples          int
	served, refused, late, far, attempts int
}

func simulate(sc scenario, hosts int, seed uint64, rank ranking) *simulation {
	s := &simulation{scenario: sc, rank: rank, load: rand.New(rand.NewPCG(seed, 1)), choice: rand.New(rand.NewPCG(seed, 2)), hosts: make([][2]simView, hosts)}
	for i := range s.replicas {
		s.replicas[i].gates = slices.Repeat([]simGate{{holdTime: sc.slotTime(i, 0)}}, sc.gates)
	}
	for h := range hosts {
		s.after(s.pause(), func() { s.caller(h) })
	}
	s.after(simFrom, s.sample)
	for len(s.events) > 0 && s.now < simTo {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	return s
}

func (s *simulation) after(d time.Duration, run func()) {
	s.scheduled++
	heap.Push(&s.events, simEvent{s.now + d, s.scheduled, run})
}

// pause returns the time between two statements of a host.
func (s *simulation) pause() time.Duration {
	return time.Duration(s.load.ExpFloat64() * float64(len(s.hosts)) / s.rate(s.now) * float64(time.Second))
}

func (s *simulation) sample() {
	for i := range s.replicas {
		for _, g := range s.replicas[i].gates {
			queue := g.running + len(g.waiting)
			s.maxQueue, s.sumQueue, s.samples = max(s.maxQueue, queue), s.sumQueue+queue, s.samples+1
		}
	}
	s.after(time.Millisecond, s.sample)
}

func (s *simulation) meanQueue() float64 { return float64(s.sumQueue) / float64(s.samples) }

func (s *simulation) roundTrip(host, replica int) time.Duration {
	if s.near(host, replica) {
		return 2 * ms
	}
	return 30 * ms
}

func (s *simulation) caller(host int) {
	s.after(s.pause(), func() { s.caller(host) })
	// Arrivals and work come from a source of their own, so that they do not depend on the
	// rule.
	work, team := (1+s.load.ExpFloat64())/2, int(s.load.ExpFloat64()*5)
	var candidates []balance.Candidate
	for r := range s.replicas {
		v := &s.hosts[host][r]
		c := balance.Candidate{
			ID: strconv.Itoa(r), RoundTrip: s.roundTrip(host, r), ResponseTime: v.responseTime, InUse: v.inFlight, HasIdleConn: true, Slots: simSlots,
			OldestCall: v.tracker.OldestCall(0, s.now),
		}
		if e, found := v.tracker.Estimate(strconv.Itoa((team+r)%s.gates), 0, s.member(), s.now); found {
			c.Load = &e
		}
		candidates = append(candidates, c)
	}
	best, _ := strconv.Atoi(s.rank(s, candidates)[0].ID)
	s.send(&simStatement{host: host, replica: best, gate: (team + best) % s.gates, work: work, born: s.now})
}

func (s *simulation) member() gateload.Member {
	return gateload.Member{Slots: simSlots, Gates: s.gates}
}

func (s *simulation) capacity() int { return simConnections / s.gates }

func (st *simStatement) call() gateload.Call {
	return gateload.Call{Gate: strconv.Itoa(st.gate), StartedAt: st.sent}
}

func (s *simulation) send(st *simStatement) {
	st.sent = s.now
	st.attempts++
	s.attempts++
	v := &s.hosts[st.host][st.replica]
	v.inFlight++
	v.tracker.Started(st.call())
	if !s.near(st.host, st.replica) {
		s.far++
	}
	s.after(s.roundTrip(st.host, st.replica)/2, func() { s.arrive(st) })
}

func (s *simulation) arrive(st *simStatement) {
	st.arrived = s.now
	g := &s.replicas[st.replica].gates[st.gate]
	if g.running >= s.capacity() && (len(g.waiting) >= simMaxWaiting || s.now+s.expectedWait(g) > st.born+simDeadline) {
		s.answer(st, false)
		return
	}
	g.waiting = append(g.waiting, st)
	s.advance(st.replica)
}

func (s *simulation) expectedWait(g *simGate) time.Duration {
	if g.running < s.capacity() {
		return 0
	}
	return g.holdTime * time.Duration(len(g.waiting)+1) / time.Duration(s.capacity())
}

// advance gives connections to the statements that wait at the gates, and slots to those
// that wait in the member.
func (s *simulation) advance(replica int) {
	r := &s.replicas[replica]
	for i := range r.gates {
		g := &r.gates[i]
		for g.running < s.capacity() && len(g.waiting) > 0 {
			g.waiting[0].gotConnAt = s.now
			r.queued = append(r.queued, g.waiting[0])
			g.waiting = g.waiting[1:]
			g.running++
		}
	}
	for r.busy < simSlots && len(r.queued) > 0 {
		st := r.queued[0]
		r.queued = r.queued[1:]
		r.busy++
		s.after(time.Duration(st.work*float64(s.slotTime(replica, s.now))), func() {
			g := &r.gates[st.gate]
			r.busy--
			g.running--
			g.holdTime += (s.now - st.gotConnAt - g.holdTime) / 10
			s.answer(st, true)
			s.advance(replica)
		})
	}
}

// answer carries a gate's report back, as it is when the gate answers.
func (s *simulation) answer(st *simStatement, ok bool) {
	g := &s.replicas[st.replica].gates[st.gate]
	report := gateload.Report{Running: g.running, Capacity: s.capacity(), Waiting: len(g.waiting), ExpectedWait: []time.Duration{s.expectedWait(g)}}
	roundTrip := s.roundTrip(st.host, st.replica)
	s.after(roundTrip/2, func() {
		v := &s.hosts[st.host][st.replica]
		v.inFlight--
		v.tracker.Ended(st.call(), ok)
		v.tracker.Record(st.call().Gate, report, s.now)
		switch {
		case ok:
			elapsed := s.now - st.sent
			v.responseTime += time.Duration(0.15 * float64(elapsed-v.responseTime))
			v.tracker.ObserveServiceTime(elapsed-roundTrip-(st.gotConnAt-st.arrived), report, s.member(), s.now)
			s.served++
			if s.now-st.born > simObjective {
				s.late++
			}
		case st.attempts < len(s.replicas):
			s.send(&simStatement{host: st.host, replica: 1 - st.replica, gate: st.gate, attempts: st.attempts, work: st.work, born: st.born})
		default:
			s.refused++
		}
	})
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// halfNear places each host near one of the replicas.
func halfNear(host, replica int) bool { return host%2 == replica }

// slowReplica makes the second replica five times as slow for a time.
func slowReplica(slotTime, from, to time.Duration) func(int, time.Duration) time.Duration {
	return func(replica int, at time.Duration) time.Duration {
		if replica == 1 && at >= from && at < to {
			return 5 * slotTime
		}
		return slotTime
	}
}

func scenarios() []scenario {
	bursts := func(at time.Duration) float64 {
		if at%(2*time.Second) < time.Second/2 {
			return 1200
		}
		return 400
	}
	return []scenario{
		{"equal, load 0.6", steady(400), slowReplica(12*ms, 0, 0), halfNear, 1},
		{"bursts", bursts, slowReplica(12*ms, 0, 0), halfNear, 1},
		{"few statements, one becomes slow", steady(100), slowReplica(20*ms, 4*time.Second, 11*time.Second), halfNear, 1},
		{"one becomes slow", steady(180), slowReplica(20*ms, 4*time.Second, 11*time.Second), halfNear, 1},
		{"the near one becomes slow", steady(180), slowReplica(20*ms, 4*time.Second, 11*time.Second), func(_, replica int) bool { return replica == 1 }, 1},
		{"one slow, load 0.95", steady(380), slowReplica(12*ms, 0, simTo), halfNear, 1},
		{"a slow one comes back", steady(300), slowReplica(12*ms, 0, 8*time.Second), halfNear, 1},
		{"equal, load 0.6, six gates", steady(400), slowReplica(12*ms, 0, 0), halfNear, 6},
		{"bursts, six gates", bursts, slowReplica(12*ms, 0, 0), halfNear, 6},
		{"one slow, load 0.95, six gates", steady(380), slowReplica(12*ms, 0, simTo), halfNear, 6},
		{"one slow, load 1.15", steady(460), slowReplica(12*ms, 0, simTo), halfNear, 1},
	}
}

// total is the sum over several seeds.
type total struct {
	late, refused, attempts, far int
	// peakRatio is the largest ratio of the largest queue to the mean queue.
	peakRatio float64
}

func simulateSeeds(sc scenario, rank ranking) total {
	const hosts, seeds = 74, 3
	var t total
	for seed := range uint64(seeds) {
		s := simulate(sc, hosts, seed+1, rank)
		t.late, t.refused, t.attempts, t.far = t.late+s.late, t.refused+s.refused, t.attempts+s.attempts, t.far+s.far
		t.peakRatio = max(t.peakRatio, float64(s.maxQueue)/s.meanQueue())
	}
	return t
}

// TestReportsServeCallersBetter guards against a choice by reports that serves callers
// worse than this host's own response times do, or that sends more reads to another region
// while all replicas are equal.
func TestReportsServeCallersBetter(t *testing.T) {
	for _, sc := range scenarios() {
		t.Run(sc.name, func(t *testing.T) {
			before, after := simulateSeeds(sc, today), simulateSeeds(sc, byLoad)
			t.Logf("before %+v, after %+v", before, after)
			allowed := before.late + before.refused
			if sc.name == "bursts" {
				// More arrives than both replicas can hold, and reads stay in their region
				// longer: with perfect knowledge 6 % more are refused than before.
				allowed = allowed * 106 / 100
			}
			require.LessOrEqual(t, after.late+after.refused, allowed)
			if strings.HasPrefix(sc.name, "equal") {
				require.Less(t, after.far*200, after.attempts)
			}
		})
	}
}

// TestQueuesStayBalancedAboveCapacity guards against hosts that all choose the same of two
// replicas, one of them slow, for as long as more is asked than both can serve. Below the
// capacity queues come and go with random arrivals: even with perfect knowledge the largest
// one is four to ten times the mean.
func TestQueuesStayBalancedAboveCapacity(t *testing.T) {
	all := scenarios()
	require.LessOrEqual(t, simulateSeeds(all[len(all)-1], byLoad).peakRatio, 2.0)
}
