package returns_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
	"github.com/dotterelswitch/dotterelswitch/core/returns"
)

const (
	ms = time.Millisecond
	// The replayed member: 4 slots of 12 ms, 27 connections, 64 waiting.
	slots       = 4
	connections = 27
	maxWaiting  = 64
	serviceTime = 12 * ms
	// servedPer100ms is what the member can run in 100 ms.
	servedPer100ms = 33
	// The crowd: 2,000 statements per second for half a second.
	crowdStart    = 10 * time.Second
	crowdDuration = 500 * ms
	crowdRate     = 2000.0
	// maxReturns is how often a caller comes back.
	maxReturns = 2
)

// replayClass is a priority class with its share of the statements.
type replayClass struct {
	share            float64
	target, deadline time.Duration
}

var replayClasses = []replayClass{{0.2, 250 * ms, 2 * time.Second}, {0.3, 500 * ms, 2 * time.Second}, {0.5, 1200 * ms, 4 * time.Second}}

// replayCall is the operation of a caller, over all of its runs.
type replayCall struct {
	priority, runs int
	text           string
	deadline       time.Duration
	fromCrowd      bool
	waiter         connpool.Waiter
	claim          returns.Return
	conn           connpool.ConnID
	takenAt        time.Duration
}

type event struct {
	at  time.Duration
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// replay runs a crowd, and a normal load beside it, against one member.
type replay struct {
	random   *rand.Rand
	pool     *connpool.Pool
	schedule *returns.Schedule // nil if callers are told the pool's forecasts
	events   eventQueue
	now      time.Duration
	waiting  map[uint64]*replayCall
	nextID   uint64
	// memberQueue holds the statements that the member has not started.
	memberQueue []*replayCall
	running     int
	// arrivals holds the times of all arrivals but the crowd's first ones, and told the
	// moments that were told.
	arrivals, told []time.Duration
	// delays holds the first retry times by class.
	delays                 [3][]time.Duration
	crowd, served, refused int
	servedByClass          [3]int
	normal, normalServed   int
}

func (r *replay) at(at time.Duration, run func()) { heap.Push(&r.events, event{at, run}) }

// runReplay runs a replay. normalShare is the normal load as a share of what the member
// can run. unfair disables the fair order of the pool.
func runReplay(seed uint64, normalShare float64, schedule *returns.Schedule, unfair bool) *replay {
	r := &replay{
		random: rand.New(rand.NewPCG(seed, 1)), schedule: schedule, waiting: map[uint64]*replayCall{},
		pool: connpool.New(connpool.Limits{MaxOpen: connections, FairShare: connections, MaxWaiting: maxWaiting, Unfair: unfair}),
	}
	for id := range uint64(connections) {
		w := connpool.Waiter{ID: id + 1, StartDeadline: time.Hour, OnTimeUntil: time.Hour}
		r.pool.Acquire(w, 0)
		r.pool.BeginOpen(0)
		r.pool.Opened(connpool.Conn{ID: connpool.ConnID(id + 1)}, 0)
	}
	for id := range uint64(connections) {
		r.pool.Released(connpool.Conn{ID: connpool.ConnID(id + 1)}, serviceTime, 0)
	}
	r.nextID = connections
	r.generate(crowdStart, crowdStart+crowdDuration, crowdRate, true)
	if normalShare > 0 {
		r.generate(0, crowdStart+8*time.Second, normalShare*slots/serviceTime.Seconds(), false)
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.run()
	}
	return r
}

// generate adds statements with exponentially distributed pauses.
func (r *replay) generate(from, until time.Duration, rate float64, crowd bool) {
	for at := from; ; {
		at += time.Duration(r.random.ExpFloat64() / rate * float64(time.Second))
		if at >= until {
			return
		}
		c := &replayCall{text: string(rune(r.random.IntN(1 << 20))), fromCrowd: crowd}
		x := r.random.Float64()
		for c.priority < 2 && x > replayClasses[c.priority].share {
			x -= replayClasses[c.priority].share
			c.priority++
		}
		c.deadline = at + replayClasses[c.priority].deadline
		if crowd {
			r.crowd++
		} else if at > crowdStart {
			r.normal++
		}
		r.at(at, func() { r.arrive(c) })
	}
}

func (r *replay) arrive(c *replayCall) {
	if !c.fromCrowd || c.runs > 0 {
		r.arrivals = append(r.arrivals, r.now)
	}
	c.runs++
	r.nextID++
	class := replayClasses[c.priority]
	start := r.now + class.deadline - 170*ms
	c.waiter = connpool.Waiter{
		ID: r.nextID, Priority: c.priority, TargetDeadline: r.now + class.target,
		OnTimeUntil: r.now + class.target/2, StartDeadline: start,
	}
	if r.schedule != nil {
		var found bool
		if c.claim, found = r.schedule.Arrive(r.now, "", c.text); found {
			c.waiter.TargetDeadline = c.claim.TargetDeadline
		}
	}
	switch d := r.pool.Acquire(c.waiter, r.now); d.Outcome {
	case connpool.Granted:
		r.start(c, d.Conn)
	case connpool.Queued:
		r.waiting[c.waiter.ID] = c
		r.recheckAt(c, c.waiter.OnTimeUntil)
	default:
		r.refuse(c, d.RetryAfter)
	}
	for _, d := range r.pool.TakeDropped() {
		dropped := r.waiting[d.Waiter.ID]
		delete(r.waiting, d.Waiter.ID)
		r.refuse(dropped, d.RetryAfter)
	}
}

func (r *replay) recheckAt(c *replayCall, at time.Duration) {
	id := c.waiter.ID
	r.at(at, func() {
		if r.waiting[id] != c {
			return
		}
		if next, keep := r.pool.WaitUntil(c.waiter, r.now); keep {
			r.recheckAt(c, max(next, r.now+ms))
			return
		}
		r.pool.CancelWait(id)
		delete(r.waiting, id)
		r.refuse(c, 0)
	})
}

// refuse tells a caller to come back, which it does within its deadline.
func (r *replay) refuse(c *replayCall, forecast time.Duration) {
	r.refused++
	retryAfter := forecast
	if r.schedule != nil {
		latest := c.waiter.StartDeadline
		if c.claim.Refusals > 0 {
			latest = c.claim.Latest
		}
		retryAfter = r.schedule.Allocate(returns.Refusal{
			Priority: c.priority, Return: c.claim, Identity: returns.IdentityOf("", c.text), TargetDeadline: c.waiter.TargetDeadline,
			NotBefore: r.now + forecast, Latest: latest,
		}, r.pool.ServiceRate(slots), r.now)
	} else if forecast == 0 {
		retryAfter = 500 * ms
	}
	retryAfter = retryAfter.Truncate(ms)
	if c.runs == 1 && c.fromCrowd {
		r.delays[c.priority] = append(r.delays[c.priority], retryAfter)
	}
	r.told = append(r.told, r.now+retryAfter)
	// Callers do not come back after their deadline, nor a third time.
	if at := r.now + retryAfter + ms; c.runs <= maxReturns && at < c.deadline {
		r.at(at, func() { r.arrive(c) })
	}
}

func (r *replay) start(c *replayCall, conn connpool.ConnID) {
	delete(r.waiting, c.waiter.ID)
	c.conn, c.takenAt = conn, r.now
	r.memberQueue = append(r.memberQueue, c)
	r.advanceMember()
}

func (r *replay) advanceMember() {
	for r.running < slots && len(r.memberQueue) > 0 {
		c := r.memberQueue[0]
		r.memberQueue = r.memberQueue[1:]
		r.running++
		r.at(r.now+serviceTime, func() { r.finish(c) })
	}
}

func (r *replay) finish(c *replayCall) {
	r.running--
	switch {
	case r.now > c.deadline:
	case c.fromCrowd:
		r.served++
		r.servedByClass[c.priority]++
	case r.now > crowdStart:
		r.normalServed++
	}
	r.pool.ObserveResponse(r.now - c.takenAt)
	if w, found := r.pool.Released(connpool.Conn{ID: c.conn}, r.now-c.takenAt, r.now); found {
		r.start(r.waiting[w.ID], c.conn)
	}
	r.advanceMember()
}

// mostWithin returns the largest number of times within a sliding period.
func mostWithin(times []time.Duration, period time.Duration) int {
	slices.Sort(times)
	most, from := 0, 0
	for i, at := range times {
		for at-times[from] >= period {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// median returns the median of retry times, or zero if none was told.
func median(delays []time.Duration) time.Duration {
	if len(delays) == 0 {
		return 0
	}
	slices.Sort(delays)
	return delays[len(delays)/2]
}

// replayCrowds runs a crowd of 2,000 statements per second for half a second, beside
// normal loads, at a member that runs 333, and checks the results without and with a
// schedule.
func replayCrowds(t *testing.T, unfair bool, check func(before, after *replay)) {
	t.Helper()
	for _, normal := range []float64{0, 0.3, 0.6} {
		for seed := range uint64(6) {
			before, after := runReplay(seed, normal, nil, unfair), runReplay(seed, normal, returns.New("gate"), unfair)
			for _, r := range []*replay{before, after} {
				t.Logf("load %.1f, seed %d, scheduled %t: %d refusals; in 100 ms at most %d told, %d arrived; of %d served %d %v; of %d normal %d; median retry %v %v %v",
					normal, seed, r.schedule != nil, r.refused, mostWithin(r.told, 100*ms), mostWithin(r.arrivals, 100*ms), r.crowd, r.served, r.servedByClass,
					r.normal, r.normalServed, median(r.delays[0]), median(r.delays[1]), median(r.delays[2]))
			}
			require.Greater(t, mostWithin(before.told, 100*ms), 8*servedPer100ms)
			require.LessOrEqual(t, mostWithin(after.told, 100*ms), 2*servedPer100ms)
			require.LessOrEqual(t, mostWithin(after.arrivals, 100*ms), 2*servedPer100ms)
			require.GreaterOrEqual(t, after.normalServed, before.normalServed)
			check(before, after)
		}
	}
}

// TestCrowdReturnsAtTheRateOfTheMember guards against a crowd that is refused at once and
// told to return at once, where a full queue refuses every newcomer.
func TestCrowdReturnsAtTheRateOfTheMember(t *testing.T) {
	replayCrowds(t, true, func(before, after *replay) {
		require.Less(t, median(after.delays[0]), median(after.delays[2]))
		require.Greater(t, after.served, 2*before.served)
		for class, served := range before.servedByClass {
			require.Greater(t, after.servedByClass[class], served)
		}
	})
}

// TestDisplacedReturnAtTheRateOfTheMember guards against the same where the queue displaces
// waiting statements. It serves nearly all of the most important ones without a schedule,
// so the others gain.
func TestDisplacedReturnAtTheRateOfTheMember(t *testing.T) {
	replayCrowds(t, false, func(before, after *replay) {
		require.Less(t, median(after.delays[1]), median(after.delays[2]))
		require.Greater(t, after.served, before.served*17/10)
		require.GreaterOrEqual(t, after.servedByClass[0], before.servedByClass[0]*96/100)
		require.GreaterOrEqual(t, after.servedByClass[1], before.servedByClass[1])
		require.Greater(t, after.servedByClass[2], 5*before.servedByClass[2])
	})
}
