package group

import (
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// View is what one host knows of a group from the members' own answers.
// Times are durations since an origin that the caller chooses; they must come
// from a monotonic clock of this host.
type View struct {
	members []memberView
	samples samples
}

// memberView is what is known of one member.
type memberView struct {
	name string
	// status is the newest answer; valid once answered is true.
	status   Status
	answered bool
	// sent is when the probe behind the newest answer was sent.
	sent time.Duration
	// failedSince is when the oldest probe was sent that failed with no answer
	// to a later one; refusals counts those refused since the last answer.
	failing     bool
	failedSince time.Duration
	refusals    int
}

// NewView returns a view of the named members.
func NewView(members []string) *View {
	v := &View{}
	for _, name := range members {
		v.members = append(v.members, memberView{name: name})
	}
	return v
}

// Quorum returns the size of a majority of the members.
func (v *View) Quorum() int { return len(v.members)/2 + 1 }

// Members returns the names in the order given to NewView.
func (v *View) Members() []string {
	names := make([]string, 0, len(v.members))
	for i := range v.members {
		names = append(names, v.members[i].name)
	}
	return names
}

func (v *View) member(name string) *memberView {
	for i := range v.members {
		if v.members[i].name == name {
			return &v.members[i]
		}
	}
	return nil
}

// Observe records an answer to a probe that was sent at the given time.
// Answers may come late, twice or out of order.
func (v *View) Observe(st Status, sent time.Duration) {
	m := v.member(st.Member)
	if m == nil {
		return
	}
	if m.answered && (sent < m.sent || st.Claimed < m.status.Claimed) {
		return
	}
	m.status, m.answered, m.sent = st, true, sent
	if m.failing && sent >= m.failedSince {
		m.failing, m.refusals = false, 0
	}
	if primary, found := v.Primary(); found && primary.Member == st.Member {
		v.samples.add(st.Claimed, sent, st.Last.Offset)
	}
}

// Fail records that the probe sent at the given time had no answer. A refusal
// is an answer by the member's machine that nothing listens.
func (v *View) Fail(member string, sent time.Duration, refused bool) {
	m := v.member(member)
	if m == nil || (m.answered && sent < m.sent) {
		return
	}
	if !m.failing {
		m.failing, m.failedSince = true, sent
	}
	if refused {
		m.refusals++
	}
}

// Status returns the newest answer of a member.
func (v *View) Status(member string) (Status, bool) {
	m := v.member(member)
	if m == nil || !m.answered {
		return Status{}, false
	}
	return m.status, true
}

// Failing reports whether the newest probes of a member failed.
func (v *View) Failing(member string) bool {
	m := v.member(member)
	return m != nil && m.failing
}

// HighestTerm returns the newest term that any member is known to have granted.
func (v *View) HighestTerm() logpos.Term {
	var high logpos.Term
	for i := range v.members {
		high = max(high, v.members[i].status.Claimed)
	}
	return high
}

// Primary returns the status of the member that acts as primary in the newest
// term in which any does. The second result is false when none is known.
func (v *View) Primary() (Status, bool) {
	var best Status
	found := false
	for i := range v.members {
		st := v.members[i].status
		if st.Primary && (!found || st.Claimed > best.Claimed) {
			best, found = st, true
		}
	}
	return best, found
}

// Reigning returns the primary of the newest term that any member is known to
// have granted. The second result is false while that term has none.
func (v *View) Reigning() (Status, bool) {
	st, found := v.Primary()
	return st, found && st.Claimed == v.HighestTerm()
}

// Confirmed returns the largest offset that a majority holds in the given
// term. An entry of an older term counts only through an entry of this term
// behind it, and a member that is known to have granted a newer term no longer
// counts. A replica's position is taken from its own answers or from its
// acknowledgements to the primary, whichever is further: either shows that the
// replica held the entry before it granted any newer term.
func (v *View) Confirmed(term logpos.Term) logpos.Offset {
	offsets := make([]logpos.Offset, 0, len(v.members))
	acks := v.acks(term)
	for i := range v.members {
		if offset := v.held(&v.members[i], term, acks); offset > 0 {
			offsets = append(offsets, offset)
		}
	}
	if len(offsets) < v.Quorum() {
		return 0
	}
	slices.Sort(offsets)
	return offsets[len(offsets)-v.Quorum()]
}

// acks returns what the primary of a term reports of its replicas.
func (v *View) acks(term logpos.Term) []Ack {
	primary, found := v.Primary()
	if !found || primary.Claimed != term {
		return nil
	}
	return primary.Acks
}

// held returns the newest offset that a member is known to hold in a term.
func (v *View) held(m *memberView, term logpos.Term, acks []Ack) logpos.Offset {
	if m.answered && m.status.Claimed > term {
		return 0
	}
	var offset logpos.Offset
	if m.answered && m.status.Claimed == term && m.status.Last.Term == term {
		offset = m.status.Last.Offset
	}
	for _, a := range acks {
		if a.Member == m.name && a.Last.Term == term {
			offset = max(offset, a.Last.Offset)
		}
	}
	return offset
}

// StoodAt returns the latest time at which the given term is known to have
// been the newest that a majority had granted. No later term can have
// acknowledged a write before then, because it would have needed one of those
// members.
func (v *View) StoodAt(term logpos.Term) (time.Duration, bool) {
	times := make([]time.Duration, 0, len(v.members))
	for i := range v.members {
		m := &v.members[i]
		if m.answered && m.status.Claimed == term {
			times = append(times, m.sent)
		}
	}
	if len(times) < v.Quorum() {
		return 0, false
	}
	slices.Sort(times)
	return times[len(times)-v.Quorum()], true
}

// FreshAt returns the latest time at which a log at p is known to have held
// everything acknowledged. The second result is false when nothing is known,
// or p lies on an abandoned branch. The bound holds under partitions: it needs
// a majority that still stood by the primary's term.
func (v *View) FreshAt(p logpos.Position) (time.Duration, bool) {
	primary, found := v.Primary()
	if !found || !primary.History.Contains(p) {
		return 0, false
	}
	stood, found := v.StoodAt(primary.Claimed)
	if !found {
		return 0, false
	}
	return v.samples.latest(primary.Claimed, p.Offset, stood)
}
