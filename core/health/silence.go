package health

import (
	"math"
	"time"
)

const (
	// doubtAfter is how long a member may leave everything unanswered before it is
	// probed: about the longest pause of a member whose queue is full (24
	// statements of 12 ms on two slots), and a round trip between regions.
	doubtAfter = 150 * time.Millisecond
	// dialSilence is how long connection attempts must stay unanswered, where there
	// was nothing else to ask. The member's machine answers them by itself,
	// without a queue, so it is several round trips between regions.
	dialSilence = 300 * time.Millisecond
	// leastSilence is the shortest silence that counts as death where pauses are
	// usually short: a member that stands still for less is not worth a failover,
	// which costs callers a second.
	leastSilence = 500 * time.Millisecond
	// pausesToDeath is how many times its longest usual pause a member must be
	// silent.
	pausesToDeath = 4
	// pauseHalfLife is the time in which a long pause counts half.
	pauseHalfLife = 5 * time.Second
)

// quiet measures how long a member leaves what it is asked unanswered, and how
// long it usually does. Fault pattern: a machine goes dark in the middle of
// traffic; dozens of statements wait, and none of them would time out for most
// of a second. Any answer to any of them is a sign of life.
type quiet struct {
	// since is when the first thing was asked that no answer came after; asks
	// counts what was asked since, and dials how much of it were connections.
	since       time.Duration
	asks, dials int
	// longest is the longest pause before an answer, as it counted at heard.
	longest, heard time.Duration
}

func (q *quiet) asked(now time.Duration, dial bool) {
	if q.asks == 0 {
		q.since = now
	}
	q.asks++
	if dial {
		q.dials++
	}
}

func (q *quiet) answered(now time.Duration) {
	if q.asks > 0 {
		q.longest = max(q.usual(now), now-q.since)
		q.heard = now
	}
	q.forget(now)
}

// forget drops what is unanswered.
func (q *quiet) forget(now time.Duration) { q.asks, q.dials, q.since = 0, 0, now }

// connected takes a connection attempt back that succeeded: it shows that the
// machine is there, but not that the member answers.
func (q *quiet) connected() {
	q.asks, q.dials = max(q.asks-1, 0), max(q.dials-1, 0)
}

// resumed has the silence begin now.
func (q *quiet) resumed(now time.Duration) { q.since = max(q.since, now) }

// usual returns the longest pause of late.
func (q *quiet) usual(now time.Duration) time.Duration {
	halves := float64(now-q.heard) / float64(pauseHalfLife)
	return time.Duration(float64(q.longest) * math.Exp2(-halves))
}

func (q *quiet) doubtful(now time.Duration) bool {
	return q.asks > 0 && now-q.since >= max(doubtAfter, q.usual(now))
}

// dead reports whether the silence is long enough to call the member dead.
func (q *quiet) dead(now time.Duration) bool {
	return q.asks >= asksToBelieve && now-q.since >= q.enough(now)
}

// enough returns how long a silence must last.
func (q *quiet) enough(now time.Duration) time.Duration {
	if q.asks == q.dials {
		return dialSilence
	}
	return min(max(pausesToDeath*q.usual(now), leastSilence), SilentFor)
}
