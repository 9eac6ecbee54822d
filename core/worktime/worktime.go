// Package worktime learns how much longer the statements of one kind take at a
// member than those of another.
//
// What a host sees of a statement is the wait in the member's queue and the work
// together. The wait is the same for all kinds that arrive at the same time, so
// the difference between two kinds' means is that of their work, however long
// the queue is.
package worktime

import (
	"math"
	"time"
)

// memory is the time over which answers count: several swings of a queue, so that
// what differs between the kinds remains of it.
const memory = 5 * time.Second

// mean is the mean time of one kind's answers, by the clock rather than by their
// number: kinds that are asked more often must not follow the queue sooner.
type mean struct {
	took time.Duration
	at   time.Duration
}

// Times holds the means of the kinds of statements at one member. It is not safe
// for concurrent use.
type Times struct {
	kinds map[string]mean
}

// Ran notes how long an answer to a statement of a kind took.
func (t *Times) Ran(kind string, took, now time.Duration) {
	if t.kinds == nil {
		t.kinds = map[string]mean{}
	}
	m, found := t.kinds[kind]
	if !found {
		t.kinds[kind] = mean{took: took, at: now}
		return
	}
	weight := 1 - math.Exp(-float64(now-m.at)/float64(memory))
	m.took += time.Duration(weight * float64(took-m.took))
	m.at = now
	t.kinds[kind] = m
}

// Extra returns how much longer than the shortest kind of late a statement of a
// kind takes; zero for a kind that is not known.
func (t *Times) Extra(kind string, now time.Duration) time.Duration {
	m, found := t.kinds[kind]
	if !found {
		return 0
	}
	least := m.took
	for _, other := range t.kinds {
		if now-other.at < memory {
			least = min(least, other.took)
		}
	}
	return m.took - least
}
