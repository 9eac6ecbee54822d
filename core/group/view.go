package group

import (
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// View is a host's knowledge of a group, from the answers of its members. Times
// are relative to an origin that the caller chooses, on a monotonic clock of
// this host.
type View struct {
	members []memberView
	samples samples
}

type memberView struct {
	name string
	// status is the newest answer; valid if answered is true.
	status Status
	// answered is set once the member has answered a probe.
	answered bool
	// sent is when the probe of the newest answer was sent.
	sent    time.Duration
	failing bool
	// failedSince is when the first of the current run of failed probes was
	// sent; valid if failing is true.
	failedSince time.Duration
	// refusals counts the refused probes of the current run.
	refusals int
}

func NewView(members []string) *View {
	v := &View{}
	for _, name := range members {
		v.members = append(v.members, memberView{name: name})
	}
	return v
}

// Quorum returns the size of a majority of the members.
func (v *View) Quorum() int { return len(v.members)/2 + 1 }

// Members returns the names of the members in the order given to NewView.
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

// Observe records an answer to a probe that was sent at the given time. Answers
// may arrive late, more than once and out of order.
func (v *View) Observe(st Status, sent time.Duration) {
	m := v.member(st.Member)
	if m == nil {
		return
	}
	if m.answered && (sent < m.sent || st.GrantedTerm < m.status.GrantedTerm) {
		return
	}
	m.status, m.answered, m.sent = st, true, sent
	if m.failing && sent >= m.failedSince {
		m.failing, m.refusals = false, 0
	}
	if primary, found := v.Primary(); found && primary.Member == st.Member {
		v.samples.add(st.GrantedTerm, sent, st.Last.Offset)
	}
}

// ObserveFailure records that the probe sent at the given time failed. Refused
// means that the member's machine refused the connection.
func (v *View) ObserveFailure(member string, sent time.Duration, refused bool) {
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

// Failing reports whether the newest probe of a member failed.
func (v *View) Failing(member string) bool {
	m := v.member(member)
	return m != nil && m.failing
}

// HighestTerm returns the newest term that any member is known to have granted.
func (v *View) HighestTerm() logpos.Term {
	var high logpos.Term
	for i := range v.members {
		high = max(high, v.members[i].status.GrantedTerm)
	}
	return high
}

// Primary returns the status of the primary of the newest term known to have
// one. The second result is false if no primary is known.
func (v *View) Primary() (Status, bool) {
	var best Status
	found := false
	for i := range v.members {
		st := v.members[i].status
		if st.Primary && (!found || st.GrantedTerm > best.GrantedTerm) {
			best, found = st, true
		}
	}
	return best, found
}

// CurrentPrimary returns the primary of the newest term that any member is
// known to have granted. The second result is false if that term has no known
// primary.
func (v *View) CurrentPrimary() (Status, bool) {
	st, found := v.Primary()
	return st, found && st.GrantedTerm == v.HighestTerm()
}

// CommittedOffset returns the largest offset that a majority has in the given
// term. Entries of older terms count only once a majority has a later entry of
// this term, and a member that is known to have granted a newer term does not
// count. A replica's position is the later of its own answer and its
// acknowledgement to the primary: either shows that it had the entry before it
// granted a newer term.
func (v *View) CommittedOffset(term logpos.Term) logpos.Offset {
	offsets := make([]logpos.Offset, 0, len(v.members))
	acks := v.acks(term)
	for i := range v.members {
		if offset := v.replicatedOffset(&v.members[i], term, acks); offset > 0 {
			offsets = append(offsets, offset)
		}
	}
	if len(offsets) < v.Quorum() {
		return 0
	}
	slices.Sort(offsets)
	return offsets[len(offsets)-v.Quorum()]
}

// acks returns the acknowledgements reported by the primary of a term.
func (v *View) acks(term logpos.Term) []Ack {
	primary, found := v.Primary()
	if !found || primary.GrantedTerm != term {
		return nil
	}
	return primary.Acks
}

// replicatedOffset returns the largest offset up to which a member is known to
// have the log of a term.
func (v *View) replicatedOffset(m *memberView, term logpos.Term, acks []Ack) logpos.Offset {
	if m.answered && m.status.GrantedTerm > term {
		return 0
	}
	var offset logpos.Offset
	if m.answered && m.status.GrantedTerm == term && m.status.Last.Term == term {
		offset = m.status.Last.Offset
	}
	for _, a := range acks {
		if a.Member == m.name && a.Last.Term == term {
			offset = max(offset, a.Last.Offset)
		}
	}
	return offset
}

// QuorumConfirmedAt returns the latest time at which the given term is known to
// have been the newest term granted by each member of a majority. No later term
// can have acknowledged a write before then, because it would have needed one of
// those members.
func (v *View) QuorumConfirmedAt(term logpos.Term) (time.Duration, bool) {
	times := make([]time.Duration, 0, len(v.members))
	for i := range v.members {
		m := &v.members[i]
		if m.answered && m.status.GrantedTerm == term {
			times = append(times, m.sent)
		}
	}
	if len(times) < v.Quorum() {
		return 0, false
	}
	slices.Sort(times)
	return times[len(times)-v.Quorum()], true
}

// FreshAsOf returns the latest time at which a log that ends at p is known to
// have contained every acknowledged write. The second result is false if no such
// time is known or p is on an abandoned branch. The bound holds under network
// partitions, because it requires a majority that had granted no newer term.
func (v *View) FreshAsOf(p logpos.Position) (time.Duration, bool) {
	primary, found := v.Primary()
	if !found || !primary.History.Contains(p) {
		return 0, false
	}
	confirmedAt, found := v.QuorumConfirmedAt(primary.GrantedTerm)
	if !found {
		return 0, false
	}
	return v.samples.latest(primary.GrantedTerm, p.Offset, confirmedAt)
}
