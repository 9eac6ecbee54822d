// Package route chooses the member that an entry host sends a request to. It
// works on hints and measured latencies only: the host that owns the member
// checks every promise again, so a wrong choice costs time and nothing else.
package route

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// Distance is how far a member is from this host.
type Distance uint8

// The distances.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// baseCost is the expected latency of a member that was not measured yet.
var baseCost = [...]time.Duration{
	SameZone:    2 * time.Millisecond,
	SameRegion:  5 * time.Millisecond,
	OtherRegion: 50 * time.Millisecond,
}

const (
	// smoothing is the weight of a new latency in the moving mean.
	smoothing = 0.2
	// recall is the time constant with which an old measurement loses weight,
	// so that a member that was slow is tried again.
	recall = time.Second
	// minWait and maxWait bound the wait for a replica to catch up.
	minWait = time.Millisecond
	maxWait = 100 * time.Millisecond
	// primaryPenalty is the latency that a read may take longer on a replica to
	// spare the primary.
	primaryPenalty = 100 * time.Millisecond
	// avoidFor and avoidMax bound how long a member that failed is avoided.
	avoidFor = 50 * time.Millisecond
	avoidMax = 2 * time.Second
)

// Member describes one member to a table.
type Member struct {
	Name     string
	Distance Distance
	// Leaving members get no new work.
	Leaving bool
}

// Table holds what one host knows of one service. It is not safe for
// concurrent use.
type Table struct {
	members []memberState
	primary string
	term    logpos.Term
	// lost is since when no write has found a primary.
	lost   bool
	lostAt time.Duration
}

// memberState is what is known of one member.
type memberState struct {
	Member
	latency   time.Duration
	measured  time.Duration
	known     bool
	failures  int
	avoidTill time.Duration
}

// NewTable returns a table of the given members.
func NewTable(members []Member) *Table {
	t := &Table{}
	t.SetMembers(members)
	return t
}

// SetMembers replaces the members and keeps what is known of those that stay.
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

// Learn takes another host's word for who the primary is.
func (t *Table) Learn(primary string, term logpos.Term) {
	if primary == "" || term < t.term || t.member(primary) == nil {
		return
	}
	t.primary, t.term = primary, term
}

// giveUpAfter is how long the lack of a primary is taken for a failover, which
// is worth waiting for. It is well above the longest one measured.
const giveUpAfter = 5 * time.Second

// WriteServed notes that a write found its primary.
func (t *Table) WriteServed() { t.lost = false }

// WriteRefused notes that a write found no primary. It reports whether that has
// lasted for so long that waiting makes no sense: the caller then gets its
// answer at once, after one attempt at each member.
func (t *Table) WriteRefused(attempt int, now time.Duration) bool {
	if !t.lost {
		t.lost, t.lostAt = true, now
	}
	return now-t.lostAt >= giveUpAfter && attempt+1 >= len(t.members)
}

// Primary returns the primary and its term, or "" when it is not known.
func (t *Table) Primary() (string, logpos.Term) { return t.primary, t.term }

// Served notes the latency of a request that a member answered.
func (t *Table) Served(name string, latency, now time.Duration) {
	m := t.member(name)
	if m == nil {
		return
	}
	m.failures, m.avoidTill = 0, 0
	mean := m.cost(now)
	if !m.known {
		mean = latency
	}
	m.latency = mean + time.Duration(smoothing*float64(latency-mean))
	m.measured, m.known = now, true
}

// Refused notes that a member could not serve a request. It is avoided for a
// while that doubles with each refusal in a row.
func (t *Table) Refused(name string, now time.Duration) {
	m := t.member(name)
	if m == nil {
		return
	}
	m.avoidTill = now + min(avoidFor<<min(m.failures, 10), avoidMax)
	m.failures++
}

// cost is the expected latency: the moving mean, which decays towards the base
// of the member's distance while it is not measured.
func (m *memberState) cost(now time.Duration) time.Duration {
	base := baseCost[m.Distance]
	if !m.known {
		return base
	}
	age := float64(now-m.measured) / float64(recall)
	weight := math.Exp(-age)
	return base + time.Duration(weight*float64(m.latency-base))
}

// Choice is one member to try and how long it may wait to catch up.
type Choice struct {
	Upstream string
	Wait     time.Duration
}

// Reads returns the members to try for a read, the cheapest first. Each may
// wait as long as the detour to the next costs, which is at most twice the cost
// of the better decision made with hindsight. A current read, which tolerates
// no stale data, always needs a round to a majority, so it may wait for one.
func (t *Table) Reads(now time.Duration, current bool) []Choice {
	order := make([]*memberState, 0, len(t.members))
	for i := range t.members {
		if !t.members[i].Leaving {
			order = append(order, &t.members[i])
		}
	}
	slices.SortStableFunc(order, func(a, b *memberState) int {
		if c := cmp.Compare(a.avoided(now), b.avoided(now)); c != 0 {
			return c
		}
		return cmp.Compare(t.readCost(a, now), t.readCost(b, now))
	})
	out := make([]Choice, 0, len(order))
	for i, m := range order {
		wait := maxWait
		if i+1 < len(order) && !current {
			wait = min(max(t.readCost(order[i+1], now)-t.readCost(m, now), minWait), maxWait)
		}
		out = append(out, Choice{Upstream: m.Name, Wait: wait})
	}
	return out
}

// readCost is the cost of a read on a member. Slots of the primary are dearer
// than latency, because only they can serve writes.
func (t *Table) readCost(m *memberState, now time.Duration) time.Duration {
	if m.Name == t.primary {
		return m.cost(now) + primaryPenalty
	}
	return m.cost(now)
}

// avoided is 1 while the member is avoided; such members come last.
func (m *memberState) avoided(now time.Duration) int {
	if now < m.avoidTill {
		return 1
	}
	return 0
}

// Write returns the member to send the given attempt of a write to: the
// primary, or each member in turn while none is known or it has failed.
func (t *Table) Write(attempt int, now time.Duration) string {
	if len(t.members) == 0 {
		return ""
	}
	if m := t.member(t.primary); m != nil && (now >= m.avoidTill || attempt == 0) {
		return m.Name
	}
	return t.members[attempt%len(t.members)].Name
}
