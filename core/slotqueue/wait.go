package slotqueue

import "time"

// tally counts the waiting statements of a team during one pass.
type tally struct {
	// total and preceding count all statements, and those that precede the statement in
	// question by class and deadline. mates are those of its class among the latter.
	total, preceding, mates int
	// last is the index of the statement that the team would have served last, plus one.
	last int
}

// last returns the index of the statement that would be served last if one of the given
// priority, which has just joined, is served too: of the teams with the longest queues, in
// rounds of the slot time that waits, the statement that the others precede. What a team
// has used before does not count, so that a team with a single statement never gives way
// to a less important one. Places that a less important class keeps are not taken from it.
func (q *Queue[T]) last(now time.Duration, priority int) int {
	q.advance()
	for i := range q.entries {
		e := &q.entries[i]
		if e.Priority < 0 {
			continue
		}
		t := &e.team.tally
		t.total++
		if e.Priority > priority && e.class.waiting <= q.reserved() {
			continue
		}
		if t.last == 0 || q.entries[t.last-1].precedes(e.Statement, now) {
			t.last = i + 1
		}
	}
	worst, worstRound := len(q.entries)-1, -1
	for i := range q.entries {
		t := q.entries[i].team
		if t.tally.last != i+1 {
			continue
		}
		round := q.round(q.virtualTime + time.Duration(t.tally.total-1)*q.cost)
		if round > worstRound || (round == worstRound && q.entries[worst].precedes(q.entries[i].Statement, now)) {
			worst, worstRound = i, round
		}
	}
	q.clearTallies()
	return worst
}

func (q *Queue[T]) clearTallies() {
	for i := range q.entries {
		q.entries[i].team.tally = tally{}
	}
}

// Wait estimates how long a statement waits, whether it is in the queue or not, if a busy
// member starts one statement every interval. The statements that count as ahead of it
// are those for which counts returns true.
func (q *Queue[T]) Wait(s Statement, now, interval time.Duration, counts func(Statement) bool) time.Duration {
	return q.wait(s, q.teams[s.Team], now, interval, counts)
}

// WaitWithoutExcess estimates how long a statement would wait that belongs to a team that
// is not ahead of the others. While only one team calls, it is a statement of that team.
func (q *Queue[T]) WaitWithoutExcess(s Statement, now, interval time.Duration) time.Duration {
	own := q.caller
	if q.callerChanged && now-q.callerChangedAt < severalTeamsTime {
		own = nil
	}
	return q.wait(s, own, now, interval, func(Statement) bool { return true })
}

func (q *Queue[T]) wait(s Statement, own *team, now, interval time.Duration, counts func(Statement) bool) time.Duration {
	ahead, mates := q.ahead(s, own, now, counts)
	wait := time.Duration(ahead+1) * interval
	urgent := 0.0
	if q.fair && s.Priority >= 0 {
		urgent = q.urgentShare(s.Priority, now, interval)
	}
	if urgent < 1.0/classShare {
		// A few starts within RateTime tell nothing about a rate.
		return wait
	}
	shared := time.Duration(mates+1) * classShare * interval
	if urgent > 1-1.0/classShare {
		return shared
	}
	return min(time.Duration(float64(wait)/(1-urgent)), shared)
}

// ahead counts the statements that are served before s, and those of its class among them.
func (q *Queue[T]) ahead(s Statement, own *team, now time.Duration, counts func(Statement) bool) (all, mates int) {
	ownAhead := 0
	for i := range q.entries {
		e := &q.entries[i]
		if e.ID == s.ID || !counts(e.Statement) {
			continue
		}
		t := &e.team.tally
		t.total++
		if !s.precedes(e.Statement, now) {
			t.preceding++
			if e.Priority == s.Priority {
				t.mates++
			}
			if e.team == own {
				ownAhead++
			}
		}
	}
	return q.aheadByRounds(s, own, ownAhead)
}

// aheadByRounds sums the statements of all teams that are ahead of s, which is preceded
// by ownAhead of its own team: those of earlier rounds, and of the same round those that
// precede it. mates are those of its class among them. It clears the tallies, so that each
// team counts once.
func (q *Queue[T]) aheadByRounds(s Statement, own *team, ownAhead int) (all, mates int) {
	used := q.virtualTime
	if own != nil {
		used = max(used, own.used)
	}
	round := q.round(used + time.Duration(ownAhead)*q.cost)
	begin := q.virtualTime + time.Duration(round)*quantum
	for i := range q.entries {
		t := q.entries[i].team
		n := t.tally
		t.tally = tally{}
		if q.fair && s.Priority >= 0 && t != own {
			most := startsUntil(begin+quantum-t.used, q.cost)
			n.preceding = min(max(n.preceding, startsUntil(begin-t.used, q.cost)), most, n.total)
			n.mates = min(n.mates, most)
		}
		all += n.preceding
		mates += n.mates
	}
	return all, mates
}

// startsUntil returns how many statements a team starts before it has used the given slot
// time.
func startsUntil(d, cost time.Duration) int {
	if d <= 0 {
		return 0
	}
	return int((d + cost - 1) / cost)
}
