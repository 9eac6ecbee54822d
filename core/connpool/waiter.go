package connpool

import "time"

// FreshShare is the part of its latency target that a statement may wait for a
// connection and still count as on time. Load pattern: a member is offered more
// than it can run, for seconds. Statements that start later than half of their
// target end late in most cases, and served in turn they make all that follow
// late too; so they wait behind those that are on time.
const FreshShare = 0.5

// Waiter is a statement that needs a connection.
type Waiter struct {
	ID uint64
	// Team is in whose name the statement runs; it needs a connection that was
	// opened in that name.
	Team string
	// AnyTeam tells that any connection will do, for what the system asks by itself.
	AnyTeam bool
	// Priority 0 is the highest.
	Priority int
	// AimBy is when its latency target is over. Of those on time the most urgent
	// goes first.
	AimBy time.Duration
	// Kind names the kind of statement; the pool only keeps it.
	Kind string
	// Extra is how much longer than the shortest kind of statement this one takes
	// of a slot.
	Extra time.Duration
	// FreshBy is until when it is served in its turn. After it, it gets what
	// those that are on time leave.
	FreshBy time.Duration
	// StartBy is the latest start that is still of use.
	StartBy time.Duration
	// Values identifies the session values that the statement needs.
	Values string
}

// stretch is how many times its extra work a statement lets others of its priority
// pass by. Load pattern: a group's replicas are behind, and its primary is offered
// a third more than its two slots can run, for most of a minute. Statements of
// 15 ms that were the most urgent left too few slots to those of 9 ms, of which
// 48 % were refused against 7 %; a slot serves more callers with the short ones.
// With 200 times, long ones are shut out.
const stretch = 50

// turn orders the statements of one priority.
func (w Waiter) turn() time.Duration { return w.AimBy + stretch*w.Extra }

// before orders waiters: a higher priority first; then those that are on time, the
// most urgent first, dear ones later; then those that are late, the oldest first.
func (w Waiter) before(v Waiter, now time.Duration) bool {
	if w.Priority != v.Priority {
		return w.Priority < v.Priority
	}
	wFresh, vFresh := w.FreshBy >= now, v.FreshBy >= now
	if wFresh != vFresh {
		return wFresh
	}
	return w.turn() < v.turn()
}

// fits reports whether the statement may run on a connection of a team.
func (w Waiter) fits(team string) bool { return w.AnyTeam || w.Team == team }

// handOver is by how much a statement may be more urgent than one of the
// connection's own team and still wait for it: about five new connections. Load
// pattern: more teams wait than a member takes connections. Each change of hands
// costs 12 to 27 ms of a slot; without a bound, a team that always has something
// waiting would keep its connections to itself.
const handOver = 60 * time.Millisecond

// passes reports whether the statement goes before one for which the connection
// need not change hands.
func (w Waiter) passes(own Waiter, now time.Duration) bool {
	w.AimBy += handOver
	return w.before(own, now)
}

// first returns the index of the waiter that is served next, of those that match.
func first(waiting []Waiter, now time.Duration, match func(Waiter) bool) (int, bool) {
	best := -1
	for i, w := range waiting {
		if match(w) && (best < 0 || w.before(waiting[best], now)) {
			best = i
		}
	}
	return best, best >= 0
}
