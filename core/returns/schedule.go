// Package returns schedules the moments at which refused statements are told to come
// back. If every refused statement got the same retry time, all would return at once and
// be refused again.
//
// A schedule allocates moments at the rate at which a member runs statements, less the
// rate at which statements usually arrive for the first time. More important statements,
// and those that were refused before, get earlier moments. A moment is not a
// reservation: correctness never depends on it.
package returns

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MinDelay is the shortest retry time, the resolution of the text of a refusal.
	MinDelay = time.Millisecond
	// MaxDelay is the longest retry time. Few callers would wait longer.
	MaxDelay = 5 * time.Second
	// intervalWidth is the width of the intervals in which moments are counted: short
	// enough that more important statements precede others noticeably, long enough that
	// a member runs several statements in it.
	intervalWidth = 25 * time.Millisecond
	numIntervals  = int64(MaxDelay / intervalWidth)
	// overbookingShare is how much of an interval's places the most important statements
	// add if less important ones have these places. Classes in between add less, so that
	// each precedes the one below. Together with a normal load beside it, at most one and
	// a half times what the member runs returns at once.
	overbookingShare = 0.5
	// lateShare is the part of the rate at which moments after the statements' deadlines
	// follow each other. Few of these callers come back.
	lateShare = 0.25
	// minRate is the assumed rate of a member that runs almost nothing, per second.
	minRate = 1
	// minSpareShare is the part of the rate that is allocated even if the usual load
	// takes all of it, so that refused statements are not told to stay away entirely.
	minSpareShare = 0.25
	// maxPriority is the lowest priority class that is distinguished from others.
	maxPriority = 7
	// numLevels counts the levels: per class, those refused before precede the others.
	numLevels = 2 * (maxPriority + 1)
)

// Refusal describes a statement that is being refused.
type Refusal struct {
	// Priority is the priority class; 0 is the highest.
	Priority int
	// Return is the return as which the statement was recognized; zero for one that
	// came for the first time.
	Return Return
	// Identity recognizes the statement when it comes back; zero for not at all.
	Identity Identity
	// TargetDeadline is when the statement's latency target ends.
	TargetDeadline time.Duration
	// NotBefore is the earliest time at which the statement could be served.
	NotBefore time.Duration
	// Latest is the latest useful moment. A caller whose moment is later does not
	// return within its deadline, so the moment takes no place.
	Latest time.Duration
	// Weight is the number of places that the statement takes; zero means one. A read
	// that several members can serve is refused by each of them and returns once.
	Weight float64
}

// level returns the rank of the refused statement; lower ones get earlier moments.
func (r Refusal) level() int {
	level := 2 * min(max(r.Priority, 0), maxPriority)
	if r.Return.Refusals == 0 {
		level++
	}
	return level
}

func (r Refusal) weight() float64 {
	if r.Weight <= 0 {
		return 1
	}
	return r.Weight
}

// interval counts the moments in one interval.
type interval struct {
	index int64
	// places is the sum of the weights by level, total that of all levels, and late that of
	// the moments after their statements' deadlines.
	places      [numLevels]float64
	total, late float64
	// moments is the number of moments.
	moments int
}

// taken returns the places taken by a range of levels.
func (v *interval) taken(from, to int) float64 {
	sum := 0.0
	for _, n := range v.places[from:to] {
		sum += n
	}
	return sum
}

// Schedule is the schedule of one member, or of one group. It is not safe for concurrent
// use. Times are offsets on a monotonic clock.
type Schedule struct {
	// intervals is a ring that is indexed by the interval's index; nil before the first
	// refusal.
	intervals []interval
	// last is the last interval with a moment.
	last int64
	// highest and lowest are the levels between which statements were refused since the
	// schedule was last empty.
	highest, lowest int
	mix             mix
	// phase shifts the places within the intervals.
	phase    float64
	arrivals arrivals
	expected expected
}

// New returns an empty schedule. Schedules of different owners do not start with a moment
// at the same time, so that hosts that share a member's rate do not add up.
func New(owner string) *Schedule {
	return &Schedule{phase: float64(xxhash.Sum64String(owner)) / (1 << 64), expected: newExpected()}
}

// Allocate returns the retry time of a refused statement, in whole milliseconds. The rate
// is how many statements the member runs per second.
func (s *Schedule) Allocate(r Refusal, rate float64, now time.Duration) time.Duration {
	current := int64(now / intervalWidth)
	if s.last < current {
		s.highest, s.lowest = numLevels, 0
	}
	level := r.level()
	s.highest, s.lowest = min(s.highest, level&^1), max(s.lowest, level|1)
	s.mix.observe(level, r.Latest)
	perInterval := s.spare(rate, now) * intervalWidth.Seconds()
	last := int64((now+MaxDelay)/intervalWidth) - 1
	first := min(max(int64((max(r.NotBefore, now+MinDelay)+intervalWidth-1)/intervalWidth), current), last)
	v := s.place(r, perInterval, first, last)
	if v != nil {
		v.places[level] += r.weight()
		v.total += r.weight()
	} else {
		v = s.placeLate(r, perInterval, first, last)
		v.late += r.weight()
	}
	v.moments++
	s.last = max(s.last, v.index)
	moment := time.Duration(v.index)*intervalWidth + spread(v.moments)
	delay := (moment - now + MinDelay - 1).Truncate(MinDelay)
	s.expected.add(r, now+delay, now)
	return delay
}

// spread returns the offset of the n-th moment within its interval. Multiples of the
// golden ratio fill an interval evenly, whatever their number.
func spread(n int) time.Duration {
	_, fraction := math.Modf(float64(n) / math.Phi)
	return time.Duration(fraction * float64(intervalWidth))
}

// place returns the first interval with a place for the statement, or nil if there is
// none until its latest useful moment.
func (s *Schedule) place(r Refusal, perInterval float64, first, last int64) *interval {
	level, weight := r.level(), r.weight()
	importance := float64(s.lowest-level) / float64(s.lowest-s.highest)
	for i := first; i <= last && time.Duration(i+1)*intervalWidth <= r.Latest; i++ {
		v := s.at(i)
		quota := s.quota(i, perInterval)
		// Rounded up, as there may be a single place in many intervals.
		extra := math.Ceil(importance * s.quota(i, overbookingShare*perInterval))
		if v.total+weight > quota+extra || v.taken(0, level+1)+weight > max(quota, extra) {
			continue
		}
		kept := s.mix.keptFor(level, time.Duration(i)*intervalWidth)
		if v.taken(level, numLevels)+weight <= max(kept*quota+extra, weight) {
			return v
		}
	}
	return nil
}

// placeLate returns the interval for a statement for which there is no place: after its
// latest useful moment, or in the second half of the schedule if it may return within it.
// These moments take no places of statements that return in time. They follow each other at
// a part of the rate, and are distributed evenly if there are more.
func (s *Schedule) placeLate(r Refusal, perInterval float64, first, last int64) *interval {
	if r.Latest >= time.Duration(last)*intervalWidth {
		first = (first + last) / 2
	} else {
		first = min(max(first, int64(r.Latest/intervalWidth)+1), last)
	}
	best := s.at(first)
	for i := first; i <= last; i++ {
		v := s.at(i)
		if v.late+r.weight() <= s.quota(i, lateShare*perInterval) {
			return v
		}
		if v.late < best.late {
			best = v
		}
	}
	return best
}

// at returns an interval, emptied if its place in the ring was used by a past one.
func (s *Schedule) at(index int64) *interval {
	if s.intervals == nil {
		s.intervals = make([]interval, numIntervals+1)
	}
	v := &s.intervals[index%int64(len(s.intervals))]
	if v.index != index {
		*v = interval{index: index}
	}
	return v
}

// quota returns the number of places of an interval. Parts of a place are distributed evenly
// over the intervals, also if there is less than one per interval. A lower rate has some of
// the places of a higher one and no others: otherwise each change of the rate would add
// places.
func (s *Schedule) quota(index int64, perInterval float64) float64 {
	whole, part := math.Modf(perInterval)
	if _, position := math.Modf(float64(index)/math.Phi + s.phase); position < part {
		whole++
	}
	return whole
}

// spare returns the rate that is left for returns.
func (s *Schedule) spare(rate float64, now time.Duration) float64 {
	if math.IsNaN(rate) || math.IsInf(rate, 0) {
		rate = 0
	}
	return max(rate-s.arrivals.usualRate(now), minSpareShare*rate, minRate)
}
