// Package exectime estimates by how much the execution times of different kinds of
// statements on a member differ.
//
// A host observes only response times, which include the wait in the member's
// queue. Kinds of statements that run during the same period see the same queueing
// delay, so the difference between their mean response times is the difference
// between their execution times.
package exectime

import (
	"math"
	"time"
)

// decayTime is the time constant of the means, long enough to average out
// fluctuations of the queue length.
const decayTime = 5 * time.Second

// decayedMean is the mean response time of one kind of statement. Samples decay
// with time rather than with the number of samples, so that frequent kinds do not
// follow changes of the queueing delay faster than rare ones.
type decayedMean struct {
	value     time.Duration
	updatedAt time.Duration
}

// Times holds the mean response times of the kinds of statements on one member.
// The zero value is ready to use. It is not safe for concurrent use.
type Times struct {
	kinds map[string]decayedMean
}

// Observe records the response time of a statement of the given kind.
func (t *Times) Observe(kind string, responseTime, now time.Duration) {
	if t.kinds == nil {
		t.kinds = map[string]decayedMean{}
	}
	m, found := t.kinds[kind]
	if !found {
		t.kinds[kind] = decayedMean{value: responseTime, updatedAt: now}
		return
	}
	weight := 1 - math.Exp(-float64(now-m.updatedAt)/float64(decayTime))
	m.value += time.Duration(weight * float64(responseTime-m.value))
	m.updatedAt = now
	t.kinds[kind] = m
}

// ExtraExecutionTime returns by how much the execution time of a kind of statement
// exceeds that of the fastest kind observed within decayTime. It returns zero for
// an unknown kind.
func (t *Times) ExtraExecutionTime(kind string, now time.Duration) time.Duration {
	m, found := t.kinds[kind]
	if !found {
		return 0
	}
	shortest := m.value
	for _, other := range t.kinds {
		if now-other.updatedAt < decayTime {
			shortest = min(shortest, other.value)
		}
	}
	return m.value - shortest
}
