package connpool_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
)

// stream is one team's statements of one class, with the objective and the deadline of
// the class.
type stream struct {
	team, class         string
	priority            int
	objective, deadline time.Duration
	// rate is the number of statements per second at a time.
	rate func(now time.Duration) float64
}

// tally counts the statements of a class by result.
type tally struct {
	offered, served, full, displaced, early, atDeadline int
	waits                                               []time.Duration
}

func (c *tally) p99() time.Duration {
	slices.Sort(c.waits)
	if len(c.waits) == 0 {
		return 0
	}
	return c.waits[(len(c.waits)-1)*99/100]
}

// job is a statement, or the opening of a connection, in the member's queue.
type job struct {
	conn    connpool.Conn
	opening bool
	since   time.Duration
	// end is when the job will have run; zero while it is queued.
	end time.Duration
}

// replay runs streams of statements against a pool and a member that runs four jobs of
// 12 ms at once. A new connection is a job too.
type replay struct {
	pool    *connpool.Pool
	now     time.Duration
	queue   []job
	running []job
	conns   map[connpool.ConnID]connpool.Conn
	waiting map[uint64]connpool.Waiter
	recheck map[uint64]time.Duration
	since   map[uint64]time.Duration
	tallies map[string]*tally
	nextID  uint64
}

const (
	replaySlots    = 4
	replayJobTime  = 12 * ms
	replayDuration = 10 * time.Second
	// replayDeadlineMargin is how long before its start deadline a statement is refused
	// that counts as refused only at the deadline.
	replayDeadlineMargin = 100 * ms
)

var replayLimits = connpool.Limits{MaxOpen: 27, MaxActive: replaySlots, FairShare: 27, MaxWaiting: 64}

func runReplay(limits connpool.Limits, seed uint64, streams []stream) map[string]*tally {
	r := &replay{
		pool: connpool.New(limits), conns: map[connpool.ConnID]connpool.Conn{}, waiting: map[uint64]connpool.Waiter{},
		recheck: map[uint64]time.Duration{}, since: map[uint64]time.Duration{}, tallies: map[string]*tally{},
	}
	random := rand.New(rand.NewPCG(seed, 1))
	for ; r.now < replayDuration; r.now += ms {
		r.runMember()
		r.recheckWaiting()
		for _, s := range streams {
			if random.Float64() < s.rate(r.now)/1000 {
				r.submit(s)
			}
		}
		r.advance()
		r.pool.ExpireIdle(r.now)
	}
	return r.tallies
}

func (r *replay) runMember() {
	ended := r.running
	r.running = nil
	for _, j := range ended {
		if j.end > r.now {
			r.running = append(r.running, j)
			continue
		}
		if j.opening {
			if w, found := r.pool.Opened(j.conn, r.now); found {
				r.start(j.conn, w)
			}
			continue
		}
		r.pool.ObserveResponse(r.now - j.since)
		if w, found := r.pool.Released(j.conn, r.now-j.since, r.now); found {
			r.start(j.conn, w)
		}
	}
	r.advance()
	for len(r.running) < replaySlots && len(r.queue) > 0 {
		r.queue[0].end = r.now + replayJobTime
		r.running = append(r.running, r.queue[0])
		r.queue = r.queue[1:]
	}
}

func (r *replay) start(c connpool.Conn, w connpool.Waiter) {
	t := r.tallies[w.Kind]
	t.served++
	t.waits = append(t.waits, r.now-r.since[w.ID])
	delete(r.waiting, w.ID)
	r.queue = append(r.queue, job{conn: c, since: r.now})
}

func (r *replay) advance() {
	for _, d := range r.pool.TakeDropped() {
		delete(r.waiting, d.Waiter.ID)
		if d.Displaced {
			r.tallies[d.Waiter.Kind].displaced++
		} else {
			r.tallies[d.Waiter.Kind].early++
		}
	}
	for {
		for id, w, found := r.pool.AssignIdle(r.now); found; id, w, found = r.pool.AssignIdle(r.now) {
			r.start(r.conns[id], w)
		}
		request, due := r.pool.BeginOpen(r.now)
		if !due {
			return
		}
		r.nextID++
		c := connpool.Conn{ID: connpool.ConnID(r.nextID), Team: request.Team}
		r.conns[c.ID] = c
		r.queue = append(r.queue, job{conn: c, opening: true})
	}
}

func (r *replay) recheckWaiting() {
	for _, id := range slices.Sorted(maps.Keys(r.waiting)) {
		w := r.waiting[id]
		if r.recheck[id] > r.now {
			continue
		}
		until, keep := r.pool.WaitUntil(w, r.now)
		r.recheck[id] = until
		if keep {
			continue
		}
		r.pool.CancelWait(id)
		delete(r.waiting, id)
		if r.now >= w.StartDeadline-replayDeadlineMargin {
			r.tallies[w.Kind].atDeadline++
		} else {
			r.tallies[w.Kind].early++
		}
	}
}

func (r *replay) submit(s stream) {
	if r.tallies[s.class] == nil {
		r.tallies[s.class] = &tally{}
	}
	r.nextID++
	r.tallies[s.class].offered++
	startDeadline := r.now + s.deadline - 170*ms
	w := connpool.Waiter{
		ID: r.nextID, Team: s.team, Priority: s.priority, Kind: s.class, TargetDeadline: r.now + s.objective,
		OnTimeUntil: r.now + s.objective/2, StartDeadline: startDeadline,
	}
	r.since[w.ID] = r.now
	switch d := r.pool.Acquire(w, r.now); d.Outcome {
	case connpool.Granted:
		r.start(r.conns[d.Conn], w)
	case connpool.Queued:
		r.waiting[w.ID], r.recheck[w.ID] = w, w.OnTimeUntil
	default:
		r.tallies[s.class].full++
	}
}

// surge returns a rate that is multiplied by a factor from second 2 for a duration.
func surge(rate, factor float64, duration time.Duration) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now >= 2*time.Second && now < 2*time.Second+duration {
			return rate * factor
		}
		return rate
	}
}

func seal(team string, rate func(time.Duration) float64) stream {
	return stream{team: team, class: "seal", priority: 0, objective: 250 * ms, deadline: 2 * time.Second, rate: rate}
}

func envelope(team string, rate func(time.Duration) float64) stream {
	return stream{team: team, class: "envelope", priority: 1, objective: 500 * ms, deadline: 2 * time.Second, rate: rate}
}

func verify(team string, rate func(time.Duration) float64) stream {
	return stream{team: team, class: "verify", priority: 2, objective: 1200 * ms, deadline: 4 * time.Second, rate: rate}
}

// perTeam divides a rate among teams.
func perTeam(teams int, s func(string, func(time.Duration) float64) stream, rate, factor float64, d time.Duration) []stream {
	var streams []stream
	for i := range teams {
		streams = append(streams, s(fmt.Sprint("team-", i), surge(rate/float64(teams), factor, d)))
	}
	return streams
}

// replayBoth runs streams with several seeds, in the fair order and in the order by
// priority and deadline alone, and checks what the fair order achieves.
func replayBoth(t *testing.T, streams []stream, check func(fair, unfair map[string]*tally)) {
	t.Helper()
	unfairLimits := replayLimits
	unfairLimits.Unfair = true
	for seed := range uint64(3) {
		fair, unfair := runReplay(replayLimits, seed, streams), runReplay(unfairLimits, seed, streams)
		for class, c := range fair {
			u := unfair[class]
			t.Logf("seed %d, %s: offered %d; served %d, full %d, displaced %d, early %d, at deadline %d, p99 %v; unfair: served %d, full %d, early %d, at deadline %d, p99 %v", seed, class,
				c.offered, c.served, c.full, c.displaced, c.early, c.atDeadline, c.p99(), u.served, u.full, u.early, u.atDeadline, u.p99())
		}
		check(fair, unfair)
	}
}

// TestTeamInExcessBearsItsCost guards against a team that sends eight times as much as
// usual and fills the queue, so that the statements of others are refused.
func TestTeamInExcessBearsItsCost(t *testing.T) {
	hot := envelope("hot", surge(60, 8, 6*time.Second))
	hot.class = "hot"
	replayBoth(t, append(perTeam(20, envelope, 120, 1, 0), hot), func(fair, unfair map[string]*tally) {
		others := fair["envelope"]
		require.GreaterOrEqual(t, float64(others.served), 0.99*float64(others.offered))
		require.LessOrEqual(t, others.p99(), 150*ms)
		require.Greater(t, fair["hot"].served, fair["hot"].offered/3, "slots that others leave go to the team in excess")
		require.Less(t, float64(unfair["envelope"].served), 0.8*float64(unfair["envelope"].offered), "the replay must overload the pool")
	})
}

// TestLeastImportantDoNotDisplaceMostImportant guards against refusing the most important
// statements because the queue is full of the least important.
func TestLeastImportantDoNotDisplaceMostImportant(t *testing.T) {
	for _, teams := range []int{1, 20} {
		streams := append(perTeam(teams, seal, 60, 1, 0), perTeam(teams, verify, 150, 6, 3*time.Second)...)
		replayBoth(t, streams, func(fair, unfair map[string]*tally) {
			require.Equal(t, fair["seal"].offered, fair["seal"].served)
			require.Less(t, float64(unfair["seal"].served), 0.9*float64(unfair["seal"].offered), "the replay must overload the pool")
		})
	}
}

// TestHopelessStatementsAreRefusedEarly guards against statements that wait until their
// deadline without a chance, and against a class that gets no slot, while the most
// important class alone demands more than all slots.
func TestHopelessStatementsAreRefusedEarly(t *testing.T) {
	for _, teams := range []int{1, 20} {
		streams := append(perTeam(teams, seal, 340, 1, 0), perTeam(teams, verify, 43, 1, 0)...)
		replayBoth(t, streams, func(fair, unfair map[string]*tally) {
			require.Less(t, float64(fair["verify"].atDeadline), 0.01*float64(fair["verify"].offered))
			require.Less(t, float64(fair["verify"].atDeadline+fair["seal"].atDeadline), 0.01*float64(fair["verify"].offered+fair["seal"].offered))
			require.Greater(t, fair["verify"].served, fair["verify"].offered/3)
			require.GreaterOrEqual(t, fair["seal"].served, unfair["seal"].served*98/100)
			require.Greater(t, unfair["verify"].atDeadline, unfair["verify"].offered/100, "the replay must overload the pool")
		})
	}
}

// BenchmarkReplay measures the replay of the team in excess, with the fair and with the old
// order: about 4,300 statements of 21 teams, of which up to 64 wait.
func BenchmarkReplay(b *testing.B) {
	streams := append(perTeam(20, envelope, 120, 1, 0), envelope("hot", surge(60, 8, 6*time.Second)))
	for _, unfair := range []bool{false, true} {
		b.Run(fmt.Sprint("unfair=", unfair), func(b *testing.B) {
			limits := replayLimits
			limits.Unfair = unfair
			for b.Loop() {
				runReplay(limits, 0, streams)
			}
		})
	}
}
