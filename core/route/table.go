// Package route chooses the member that a host sends a request of a caller to, from
// primary hints and measured latencies. The host that owns the member's connection
// pool enforces consistency, so a wrong choice only adds latency.
package route

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// Distance is the network distance of a member from this host.
type Distance uint8

const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// defaultLatency is the expected latency of a member without a recent measurement.
var defaultLatency = [...]time.Duration{
	SameZone:    2 * time.Millisecond,
	SameRegion:  5 * time.Millisecond,
	OtherRegion: 50 * time.Millisecond,
}

const (
	// latencySmoothing is the weight of a new sample in the exponential moving
	// average.
	latencySmoothing = 0.2
	// latencyDecay is the time constant with which a measurement loses weight, so
	// that a member that was slow is tried again.
	latencyDecay = time.Second
	// minCatchUpWait and maxCatchUpWait bound the wait for a replica to catch up.
	minCatchUpWait = time.Millisecond
	maxCatchUpWait = 100 * time.Millisecond
	// primaryReadPenalty is the additional latency accepted for a read on a replica
	// in order to keep load off the primary.
	primaryReadPenalty = 100 * time.Millisecond
	// initialAvoidance and maxAvoidance bound how long a member is avoided after a
	// refusal.
	initialAvoidance = 50 * time.Millisecond
	maxAvoidance     = 2 * time.Second
	// maxAvoidanceDoublings limits the shift so that it cannot overflow.
	maxAvoidanceDoublings = 10
)

// Member is the configuration of one member.
type Member struct {
	Name     string
	Distance Distance
	// Draining members get no reads.
	Draining bool
}

// Table holds one host's routing state for one service. It is not safe for
// concurrent use.
type Table struct {
	members []memberState
	primary string
	term    logpos.Term
	// primaryMissing is set while writes find no primary, since missingSince.
	primaryMissing bool
	missingSince   time.Duration
}

// memberState is the routing state of one member.
type memberState struct {
	Member
	latency    time.Duration
	measuredAt time.Duration
	measured   bool
	failures   int
	avoidUntil time.Duration
}

func NewTable(members []Member) *Table {
	t := &Table{}
	t.SetMembers(members)
	return t
}

// SetMembers replaces the members and keeps the state of those that remain.
func (t *Table) SetMembers(members []Member) {
	old := t.members
	t.members = make([]memberState, 0, len(members))
	for _, m := range members {
		st := memberState{Member: m}
		for _, o := range old {
			if o.Name == m.Name {
				st = o
				st.Member = m
			}
		}
		t.members = append(t.members, st)
	}
}

func (t *Table) member(name string) *memberState {
	for i := range t.members {
		if t.members[i].Name == name {
			return &t.members[i]
		}
	}
	return nil
}

// UpdatePrimary records another host's hint about the primary. Hints of older terms
// and hints that name an unknown member are ignored.
func (t *Table) UpdatePrimary(primary string, term logpos.Term) {
	if primary == "" || term < t.term || t.member(primary) == nil {
		return
	}
	t.primary, t.term = primary, term
}

// maxFailoverWait is how long writes wait for a primary. A service that is without
// one for longer is not expected to recover by a failover.
const maxFailoverWait = 5 * time.Second

// RecordWriteServed records that a write was served by the primary.
func (t *Table) RecordWriteServed() { t.primaryMissing = false }

// RecordWriteRefused records that an attempt of a write found no primary. It reports
// whether the write should fail without further attempts: the primary has been
// missing for maxFailoverWait, and the write has tried each member once.
func (t *Table) RecordWriteRefused(attempt int, now time.Duration) bool {
	if !t.primaryMissing {
		t.primaryMissing, t.missingSince = true, now
	}
	return now-t.missingSince >= maxFailoverWait && attempt+1 >= len(t.members)
}

// Primary returns the primary and its term, or "" if the primary is unknown.
func (t *Table) Primary() (string, logpos.Term) { return t.primary, t.term }

// RecordLatency records the latency of a request that a member served, and ends the
// avoidance of the member.
func (t *Table) RecordLatency(name string, latency, now time.Duration) {
	m := t.member(name)
	if m == nil {
		return
	}
	m.failures, m.avoidUntil = 0, 0
	mean := m.expectedLatency(now)
	if !m.measured {
		mean = latency
	}
	m.latency = mean + time.Duration(latencySmoothing*float64(latency-mean))
	m.measuredAt, m.measured = now, true
}

// RecordRefusal records that a member could not serve a request. The member is
// avoided for a time that doubles with each consecutive refusal, up to maxAvoidance.
func (t *Table) RecordRefusal(name string, now time.Duration) {
	m := t.member(name)
	if m == nil {
		return
	}
	m.avoidUntil = now + min(initialAvoidance<<min(m.failures, maxAvoidanceDoublings), maxAvoidance)
	m.failures++
}

// expectedLatency returns the moving average of the member's latency. It decays
// towards the default of the member's distance while no sample is recorded.
func (m *memberState) expectedLatency(now time.Duration) time.Duration {
	base := defaultLatency[m.Distance]
	if !m.measured {
		return base
	}
	age := float64(now-m.measuredAt) / float64(latencyDecay)
	weight := math.Exp(-age)
	return base + time.Duration(weight*float64(m.latency-base))
}

// Candidate is a member to try for a read.
type Candidate struct {
	Upstream string
	// Wait is how long the read may wait for the member to catch up.
	Wait time.Duration
}

// ReadCandidates returns the members to try for a read, the one with the lowest cost
// first. The read may wait for each by as much time as the next one would cost more,
// so that the total is at most twice the cost of the better choice. A linearizable
// read needs a majority round trip on any member, so it may always wait for
// maxCatchUpWait.
func (t *Table) ReadCandidates(now time.Duration, linearizable bool) []Candidate {
	members := make([]*memberState, 0, len(t.members))
	for i := range t.members {
		if !t.members[i].Draining {
			members = append(members, &t.members[i])
		}
	}
	slices.SortStableFunc(members, func(a, b *memberState) int {
		if c := cmp.Compare(a.avoidanceRank(now), b.avoidanceRank(now)); c != 0 {
			return c
		}
		return cmp.Compare(t.readCost(a, now), t.readCost(b, now))
	})
	out := make([]Candidate, 0, len(members))
	for i, m := range members {
		wait := maxCatchUpWait
		if i+1 < len(members) && !linearizable {
			wait = min(max(t.readCost(members[i+1], now)-t.readCost(m, now), minCatchUpWait), maxCatchUpWait)
		}
		out = append(out, Candidate{Upstream: m.Name, Wait: wait})
	}
	return out
}

// readCost is the cost of a read on a member. The primary costs more, because its
// slots are needed for writes.
func (t *Table) readCost(m *memberState, now time.Duration) time.Duration {
	if m.Name == t.primary {
		return m.expectedLatency(now) + primaryReadPenalty
	}
	return m.expectedLatency(now)
}

// avoidanceRank is the primary sort key of read candidates: 1 while the member is
// avoided, so that it comes last, and 0 otherwise.
func (m *memberState) avoidanceRank(now time.Duration) int {
	if now < m.avoidUntil {
		return 1
	}
	return 0
}

// WriteTarget returns the member for the given attempt of a write: the primary, or
// each member in turn while the primary is unknown or avoided. The first attempt goes
// to a known primary even if it is avoided. It returns "" if there are no members.
func (t *Table) WriteTarget(attempt int, now time.Duration) string {
	if len(t.members) == 0 {
		return ""
	}
	if m := t.member(t.primary); m != nil && (now >= m.avoidUntil || attempt == 0) {
		return m.Name
	}
	return t.members[attempt%len(t.members)].Name
}
