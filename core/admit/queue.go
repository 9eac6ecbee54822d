// Package admit shares the execution slots of one upstream among teams by
// start-time fair queueing (Goyal, Vin and Cheng, 1996), weighted by the
// expected cost of each request. It is work-conserving: a single active team
// may use every slot, and a team that becomes active again is not penalized
// for the slots that others used in the meantime.
package admit

import (
	"container/heap"
	"time"
)

// Config holds the limits of a Queue.
type Config struct {
	// Slots is the number of requests that may run at once.
	Slots int
	// MaxQueued is the maximum number of queued requests, over all teams.
	MaxQueued int
	// MaxTeamShare is the fraction of MaxQueued that one team may occupy while
	// other teams have queued requests, from 0 to 1.
	MaxTeamShare float64
}

// Request is a unit of work that occupies one slot.
type Request struct {
	ID   uint64
	Team string
	// Weight scales the team's share of the slots; 1 is a regular share.
	Weight float64
	// Cost is the expected time for which the request occupies its slot.
	Cost time.Duration
	// Deadline is the latest useful completion time, on the same clock as the
	// now arguments of Queue.
	Deadline time.Duration
}

// Decision is the result of offering a request to a Queue.
type Decision uint8

const (
	// Admitted means that the request has taken a slot and starts now.
	Admitted Decision = iota
	// Queued means that the request waits for a slot.
	Queued
	// QueueFull means that the queue, or the team's share of it, is full.
	QueueFull
	// DeadlineUnreachable means that the request is expected to miss its deadline.
	DeadlineUnreachable
)

// Queue admits requests to the slots of one upstream. It is not safe for
// concurrent use. Times are offsets on a monotonic clock.
type Queue struct {
	cfg         Config
	running     int
	virtualTime float64
	teams       map[string]*teamState
	waiting     requestHeap
	byID        map[uint64]*entry
	sequence    uint64
	// meanServiceTime is the moving average of the time for which requests occupy
	// a slot. It is used to estimate queueing delay.
	meanServiceTime time.Duration
}

// teamState is the fair-queueing state of one team.
type teamState struct {
	virtualFinish float64
	queued        int
}

// NewQueue returns an empty queue.
func NewQueue(cfg Config) *Queue {
	return &Queue{cfg: cfg, teams: make(map[string]*teamState), byID: make(map[uint64]*entry)}
}

// Running returns the number of slots in use.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of queued requests.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Resize changes the number of slots. Running requests are not affected.
func (q *Queue) Resize(slots int) { q.cfg.Slots = slots }

// Offer admits, queues or refuses a request.
func (q *Queue) Offer(r Request, now time.Duration) Decision {
	if q.expectedWait()+r.Cost > r.Deadline-now {
		return DeadlineUnreachable
	}
	if q.running < q.cfg.Slots && len(q.waiting) == 0 {
		q.virtualTime = max(q.virtualTime, q.charge(r))
		q.running++
		return Admitted
	}
	if q.isFullFor(r.Team) {
		return QueueFull
	}
	q.push(r)
	return Queued
}

// expectedWait estimates the queueing delay of a request that joins the queue now.
func (q *Queue) expectedWait() time.Duration {
	if q.running < q.cfg.Slots || q.cfg.Slots == 0 {
		return 0
	}
	return q.meanServiceTime * time.Duration(len(q.waiting)) / time.Duration(q.cfg.Slots)
}

func (q *Queue) isFullFor(team string) bool {
	if len(q.waiting) >= q.cfg.MaxQueued {
		return true
	}
	state := q.teams[team]
	if state == nil || state.queued == len(q.waiting) {
		return false
	}
	return float64(state.queued) >= q.cfg.MaxTeamShare*float64(q.cfg.MaxQueued)
}

// charge advances the team's virtual finish time by the weighted cost of r and
// returns the virtual start time of r.
func (q *Queue) charge(r Request) float64 {
	state := q.teams[r.Team]
	if state == nil {
		state = &teamState{}
		q.teams[r.Team] = state
	}
	start := max(q.virtualTime, state.virtualFinish)
	state.virtualFinish = start + virtualCost(r)
	return start
}

// refund takes back the charge of a queued request that is cancelled. The charge of one
// that is dropped at its deadline is behind the virtual time by then.
func (q *Queue) refund(r Request) {
	if state := q.teams[r.Team]; state != nil {
		state.virtualFinish -= virtualCost(r)
	}
}

// virtualCost returns the weighted cost of a request.
func virtualCost(r Request) float64 {
	return float64(max(r.Cost, time.Microsecond)) / max(r.Weight, minWeight)
}

// minWeight prevents a division by zero for requests without a weight.
const minWeight = 0.001

func (q *Queue) push(r Request) {
	start := q.charge(r)
	q.teams[r.Team].queued++
	q.sequence++
	e := &entry{request: r, virtualStart: start, sequence: q.sequence}
	q.byID[r.ID] = e
	heap.Push(&q.waiting, e)
}

// Done frees the slot of a request that occupied it for serviceTime. A zero
// serviceTime marks a slot that was returned unused. Done returns the queued
// requests that are admitted now and those that can no longer meet their
// deadline, which are dropped.
func (q *Queue) Done(serviceTime, now time.Duration) (admitted, expired []Request) {
	q.running--
	q.observeServiceTime(serviceTime)
	return q.Dispatch(now)
}

// Dispatch fills free slots from the queue. Its results are those of Done.
func (q *Queue) Dispatch(now time.Duration) (admitted, expired []Request) {
	for q.running < q.cfg.Slots && len(q.waiting) > 0 {
		e := heap.Pop(&q.waiting).(*entry)
		q.untrack(e)
		if now+e.request.Cost > e.request.Deadline {
			expired = append(expired, e.request)
			continue
		}
		q.virtualTime = max(q.virtualTime, e.virtualStart)
		q.running++
		admitted = append(admitted, e.request)
	}
	if q.running == 0 && len(q.waiting) == 0 {
		q.reset()
	}
	return admitted, expired
}

// reset clears the fair-queueing state once the upstream is idle.
func (q *Queue) reset() {
	q.virtualTime = 0
	clear(q.teams)
}

// Remove cancels a queued request. It reports whether the request was still
// queued; if not, it was already admitted or dropped.
func (q *Queue) Remove(id uint64) bool {
	e, found := q.byID[id]
	if !found {
		return false
	}
	heap.Remove(&q.waiting, e.index)
	q.untrack(e)
	q.refund(e.request)
	return true
}

func (q *Queue) untrack(e *entry) {
	delete(q.byID, e.request.ID)
	if state := q.teams[e.request.Team]; state != nil {
		state.queued--
	}
}

// serviceTimeWeight is the weight of a new sample in meanServiceTime.
const serviceTimeWeight = 0.1

// observeServiceTime updates meanServiceTime. Zero marks a slot that was returned
// unused and is ignored.
func (q *Queue) observeServiceTime(serviceTime time.Duration) {
	if serviceTime == 0 {
		return
	}
	if q.meanServiceTime == 0 {
		q.meanServiceTime = serviceTime
		return
	}
	q.meanServiceTime += time.Duration(serviceTimeWeight * float64(serviceTime-q.meanServiceTime))
}
