// Package slotqueue orders the statements that wait for the slots of one member. It
// decides which statement is served next, which one gives way when the queue is full,
// and how long a statement is expected to wait.
//
// Slot time is shared among teams by start-time fair queueing (Goyal, Vin and Cheng,
// 1996), in rounds of one quantum: a team that is ahead of the team that is furthest
// behind by less than a quantum is in the first round, and within a round statements are
// ordered by priority, then on time before late, then by deadline.
//
// A class is the statements of one priority. A class that waits, and is not the most
// important one, gets at least one start in classShare, and keeps as large a part of the
// queue.
package slotqueue

import "time"

const (
	// quantum is the slot time by which a team may be ahead of the others before their
	// statements precede its own, whatever their priorities. Less makes important
	// statements of a large team wait for unimportant ones of others; more makes the others
	// wait longer while one team sends several times as much as usual: about 55 ms with
	// 200 ms on four slots.
	quantum = 200 * time.Millisecond
	// classShare is the inverse of the share of starts and of places in the queue that a
	// class keeps. One in sixteen costs the more important classes little and serves the
	// other statements of an overloaded member within their deadline of seconds.
	classShare = 16
	// maxLead bounds by how much a long use of a slot puts its team ahead, so that a
	// transaction of minutes does not shut its team out for as long.
	maxLead = time.Second
	// initialCost is the expected slot time of a statement before the first sample.
	initialCost = 30 * time.Millisecond
	// severalTeamsTime is for how long after a change of the calling team several teams are
	// taken to call.
	severalTeamsTime = 10 * time.Second
	// maxTeams is the number of teams from which on those are removed that have no waiting
	// statement and are ahead of the others by less than a quantum.
	maxTeams = 256
)

// Statement describes a waiting statement.
type Statement struct {
	ID   uint64
	Team string
	// Priority is the priority class; 0 is the highest that a caller can have. Statements
	// of the proxy itself have a negative one; they precede all others and are not charged.
	Priority int
	// Deadline orders statements of equal priority that are all on time or all late.
	Deadline time.Duration
	// OnTimeUntil is when the statement becomes late.
	OnTimeUntil time.Duration
}

// precedes reports whether s precedes o if their teams are equal: by priority, then on
// time before late, then by deadline.
func (s Statement) precedes(o Statement, now time.Duration) bool {
	if s.Priority != o.Priority {
		return s.Priority < o.Priority
	}
	if sLate, oLate := s.late(now), o.late(now); sLate != oLate {
		return oLate
	}
	return s.Deadline < o.Deadline
}

func (s Statement) late(now time.Duration) bool { return s.OnTimeUntil < now }

// entry is a waiting statement with its value.
type entry[T any] struct {
	Statement
	value T
	team  *team
	class *class
}

// team is the state of one team.
type team struct {
	// used is the slot time charged to the team, on the scale of Queue.virtualTime.
	used    time.Duration
	waiting int
	tally   tally
}

// Queue is the queue before a member's slots, with a value for each statement. It is not
// safe for concurrent use. Times are offsets on a monotonic clock.
type Queue[T any] struct {
	fair       bool
	maxWaiting int
	entries    []entry[T]
	teams      map[string]*team
	classes    []*class
	// virtualTime is the least slot time of the teams that wait, and never decreases. A
	// team that begins to wait is charged at least that, so that it has no claim for the
	// time in which it did not wait.
	virtualTime time.Duration
	// cost is the expected slot time of a statement.
	cost time.Duration
	// caller is the team of the last statement of a caller, and callerChangedAt when it
	// last was another team than before, if callerChanged is set.
	caller          *team
	callerChanged   bool
	callerChangedAt time.Duration
}

// New returns an empty queue. If fair is unset, teams and classes have no share, and a
// full queue refuses every newcomer.
func New[T any](maxWaiting int, fair bool) *Queue[T] {
	return &Queue[T]{fair: fair, maxWaiting: maxWaiting, teams: map[string]*team{}, cost: initialCost}
}

// SetMaxWaiting changes the maximum number of waiting statements for future decisions.
func (q *Queue[T]) SetMaxWaiting(n int) { q.maxWaiting = n }

// SetCost sets the expected slot time of a statement.
func (q *Queue[T]) SetCost(d time.Duration) { q.cost = max(d, time.Microsecond) }

// Len returns the number of waiting statements.
func (q *Queue[T]) Len() int { return len(q.entries) }

// At returns a waiting statement's value by its index.
func (q *Queue[T]) At(i int) T { return q.entries[i].value }

// team returns the state of a team that is about to get a statement.
func (q *Queue[T]) team(name string) *team {
	t, found := q.teams[name]
	if !found {
		if len(q.teams) >= maxTeams {
			q.removeUnusedTeams()
		}
		t = &team{}
		q.teams[name] = t
	}
	if t.waiting == 0 {
		t.used = max(t.used, q.virtualTime)
	}
	return t
}

// recordCaller records that a team has called.
func (q *Queue[T]) recordCaller(t *team, priority int, now time.Duration) {
	if priority < 0 || t == q.caller {
		return
	}
	if q.caller != nil {
		q.callerChanged, q.callerChangedAt = true, now
	}
	q.caller = t
}

func (q *Queue[T]) removeUnusedTeams() {
	for name, t := range q.teams {
		if t.waiting == 0 && t.used-q.virtualTime < quantum {
			delete(q.teams, name)
		}
	}
}

// Push adds a statement. If the queue is full, the statement that would be served last is
// displaced, which may be the new one.
func (q *Queue[T]) Push(s Statement, value T, now time.Duration) (displaced T, full bool) {
	e := entry[T]{Statement: s, value: value, team: q.team(s.Team), class: q.class(s.Priority)}
	if q.fair {
		e.class.arrivedAt, e.class.arrived = now, true
	}
	q.recordCaller(e.team, s.Priority, now)
	q.add(e)
	if len(q.entries) <= q.limitFor(s.Priority, now) {
		return displaced, false
	}
	victim := len(q.entries) - 1
	if q.fair && q.mixed() {
		victim = q.last(now, s.Priority)
	}
	return q.Remove(victim), true
}

func (q *Queue[T]) add(e entry[T]) {
	q.entries = append(q.entries, e)
	e.team.waiting++
	e.class.waiting++
}

// mixed reports whether statements of several teams or classes of callers wait.
func (q *Queue[T]) mixed() bool {
	var first *entry[T]
	for i := range q.entries {
		e := &q.entries[i]
		switch {
		case e.Priority < 0:
		case first == nil:
			first = e
		case e.team != first.team || e.class != first.class:
			return true
		}
	}
	return false
}

// Remove removes a waiting statement by its index.
func (q *Queue[T]) Remove(i int) T {
	e := q.entries[i]
	e.team.waiting--
	e.class.waiting--
	q.entries = append(q.entries[:i], q.entries[i+1:]...)
	return e.value
}

// RemoveID removes a waiting statement by its identifier. It reports whether it waited.
func (q *Queue[T]) RemoveID(id uint64) bool {
	for i := range q.entries {
		if q.entries[i].ID == id {
			q.Remove(i)
			return true
		}
	}
	return false
}

// round returns by how many quanta a team that has used the given slot time is ahead.
func (q *Queue[T]) round(used time.Duration) int {
	if !q.fair || used <= q.virtualTime {
		return 0
	}
	return int((used - q.virtualTime) / quantum)
}

// Next returns the index of the statement that is served next among those that match.
func (q *Queue[T]) Next(now time.Duration, match func(T) bool) (int, bool) {
	q.advance()
	best := -1
	for i := range q.entries {
		if match(q.entries[i].value) && (best < 0 || q.before(&q.entries[i], &q.entries[best], now, 0)) {
			best = i
		}
	}
	return best, best >= 0
}

// Before reports whether the statement with index i is served before the one with index
// j although serving it costs the given slot time more.
func (q *Queue[T]) Before(i, j int, now, margin time.Duration) bool {
	return q.before(&q.entries[i], &q.entries[j], now, margin)
}

// before reports whether e is served before o.
func (q *Queue[T]) before(e, o *entry[T], now, margin time.Duration) bool {
	if q.fair && e.Priority >= 0 && o.Priority >= 0 {
		if eRound, oRound := q.round(e.team.used+margin), q.round(o.team.used); eRound != oRound {
			return eRound < oRound
		}
		if eDue, oDue := q.due(e.class), q.due(o.class); eDue != oDue {
			return eDue
		}
	}
	s := e.Statement
	s.Deadline += margin
	return s.precedes(o.Statement, now)
}

// advance updates the virtual time.
func (q *Queue[T]) advance() {
	least := time.Duration(-1)
	for i := range q.entries {
		if e := &q.entries[i]; e.Priority >= 0 && (least < 0 || e.team.used < least) {
			least = e.team.used
		}
	}
	q.virtualTime = max(q.virtualTime, least)
}

// Started records that a statement has taken a slot, and charges its team. The statement
// is in the queue no more.
func (q *Queue[T]) Started(teamName string, priority int, late bool, now time.Duration) {
	if priority < 0 {
		return
	}
	t := q.team(teamName)
	q.recordCaller(t, priority, now)
	if len(q.entries) == 0 {
		q.virtualTime = max(q.virtualTime, t.used)
	}
	t.used += q.cost
	q.classStarted(priority, late, now)
}

// Ended records how long a team's statement has used its slot, and corrects the charge for
// it.
func (q *Queue[T]) Ended(teamName string, took time.Duration) {
	if t, found := q.teams[teamName]; found {
		t.used = min(t.used+took-q.cost, max(t.used, q.virtualTime+maxLead))
	}
}
