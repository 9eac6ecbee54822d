// Package admit shares the slots of one upstream among teams. It is
// start-time fair queueing (Goyal, Vin and Cheng, 1996) over cost: a team
// that is alone uses every slot, and one that returns is served next, because
// its virtual start time is not behind the queue's.
package admit

import (
	"container/heap"
	"time"
)

// Config holds the limits of one queue.
type Config struct {
	// Slots is the number of requests that may run at once.
	Slots int
	// MaxQueued bounds the requests that wait, over all teams.
	MaxQueued int
	// MaxTeamShare is the part of MaxQueued that one team may fill while
	// others wait too, from 0 to 1.
	MaxTeamShare float64
}

// Request is one unit of work.
type Request struct {
	ID   uint64
	Team string
	// Weight scales the team's share; 1 is the norm.
	Weight float64
	// Cost is the expected slot time.
	Cost time.Duration
	// Deadline is the latest useful end, on the caller's monotonic clock.
	Deadline time.Duration
}

// Verdict says what became of an offered request.
type Verdict uint8

// The verdicts of Offer.
const (
	// Run means a slot is taken and the request starts now.
	Run Verdict = iota
	// Wait means the request is queued.
	Wait
	// Full means the queue has no room for this team.
	Full
	// Late means the request would miss its deadline.
	Late
)

// Queue admits requests to the slots of one upstream. It is not safe for
// concurrent use.
type Queue struct {
	cfg      Config
	running  int
	virtual  float64
	teams    map[string]*teamState
	waiting  requestHeap
	byID     map[uint64]*entry
	sequence uint64
	// service is the smoothed slot time, for estimates of the wait.
	service time.Duration
}

// teamState is the fair-queueing state of one team.
type teamState struct {
	finish float64
	queued int
}

// NewQueue returns an empty queue.
func NewQueue(cfg Config) *Queue {
	return &Queue{cfg: cfg, teams: make(map[string]*teamState), byID: make(map[uint64]*entry)}
}

// Running returns the number of slots in use.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of queued requests.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Resize changes the number of slots; running requests are not affected.
func (q *Queue) Resize(slots int) { q.cfg.Slots = slots }

// Offer admits, queues or refuses a request.
func (q *Queue) Offer(r Request, now time.Duration) Verdict {
	if q.expectedWait()+r.Cost > r.Deadline-now {
		return Late
	}
	if q.running < q.cfg.Slots && len(q.waiting) == 0 {
		q.charge(r)
		q.running++
		return Run
	}
	if q.full(r.Team) {
		return Full
	}
	q.push(r)
	return Wait
}

// expectedWait estimates how long a request at the end of the queue waits.
func (q *Queue) expectedWait() time.Duration {
	if q.running < q.cfg.Slots || q.cfg.Slots == 0 {
		return 0
	}
	return q.service * time.Duration(len(q.waiting)) / time.Duration(q.cfg.Slots)
}

func (q *Queue) full(team string) bool {
	if len(q.waiting) >= q.cfg.MaxQueued {
		return true
	}
	ts := q.teams[team]
	if ts == nil || ts.queued == len(q.waiting) {
		return false
	}
	return float64(ts.queued) >= q.cfg.MaxTeamShare*float64(q.cfg.MaxQueued)
}

// charge advances the team's virtual time by the cost of r and returns the
// virtual start of r.
func (q *Queue) charge(r Request) float64 {
	ts := q.teams[r.Team]
	if ts == nil {
		ts = &teamState{}
		q.teams[r.Team] = ts
	}
	start := max(q.virtual, ts.finish)
	ts.finish = start + float64(max(r.Cost, time.Microsecond))/max(r.Weight, minWeight)
	return start
}

// minWeight keeps a zero weight from dividing by zero.
const minWeight = 0.001

func (q *Queue) push(r Request) {
	start := q.charge(r)
	q.teams[r.Team].queued++
	q.sequence++
	e := &entry{request: r, start: start, sequence: q.sequence}
	q.byID[r.ID] = e
	heap.Push(&q.waiting, e)
}

// Done frees a slot after a request that took the given time, and returns the
// requests that start now and those that are refused because they are late.
func (q *Queue) Done(took, now time.Duration) (start, late []Request) {
	q.running--
	q.observe(took)
	return q.Dispatch(now)
}

// Dispatch fills free slots from the queue.
func (q *Queue) Dispatch(now time.Duration) (start, late []Request) {
	for q.running < q.cfg.Slots && len(q.waiting) > 0 {
		e := heap.Pop(&q.waiting).(*entry)
		q.forget(e)
		if now+e.request.Cost > e.request.Deadline {
			late = append(late, e.request)
			continue
		}
		q.virtual = max(q.virtual, e.start)
		q.running++
		start = append(start, e.request)
	}
	if q.running == 0 && len(q.waiting) == 0 {
		q.reset()
	}
	return start, late
}

// reset forgets the teams' past once the upstream is idle.
func (q *Queue) reset() {
	q.virtual = 0
	clear(q.teams)
}

// Remove takes a queued request out, for a caller that gave up. It reports
// whether the request was still waiting, which means that it did not run.
func (q *Queue) Remove(id uint64) bool {
	e, found := q.byID[id]
	if !found {
		return false
	}
	heap.Remove(&q.waiting, e.index)
	q.forget(e)
	return true
}

func (q *Queue) forget(e *entry) {
	delete(q.byID, e.request.ID)
	if ts := q.teams[e.request.Team]; ts != nil {
		ts.queued--
	}
}

// smoothing is the weight of a new sample in the moving mean of service time.
const smoothing = 0.1

// observe takes a slot time; zero stands for a slot that was given back unused.
func (q *Queue) observe(took time.Duration) {
	if took == 0 {
		return
	}
	if q.service == 0 {
		q.service = took
		return
	}
	q.service += time.Duration(smoothing * float64(took-q.service))
}
