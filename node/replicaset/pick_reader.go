package replicaset

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/balance"
	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/catchup"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/mechanism"
	"github.com/dotterelswitch/dotterelswitch/core/membership"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// reader is the member that a read is sent to.
type reader struct {
	member *Member
	// guarded tells that nothing known bounds the age of the read, so that the
	// primary must prove its lead.
	guarded bool
	// unbounded tells that this host knows no floor, and that the member's gate is
	// to find one.
	unbounded bool
}

// source says why a read goes to a member. It is asked before the read is sent.
func (a *attempts) source(r reader) ReadSource {
	switch {
	case r.guarded && a.work.Route.Consistency == catalog.Primary:
		return PrimaryByRoute
	case r.guarded:
		return PrimaryNoFloor
	case !a.set.leads(r.member):
		return ByReplica
	}
	now := clock.Now()
	floor, found := a.set.floor(a.work, now)
	if !found {
		return PrimaryNoFloor
	}
	return whyPrimary(a.set.readers(a.work.Team, nil, floor, now))
}

// whyPrimary says why the primary goes before the replicas.
func whyPrimary(candidates []balance.Candidate) ReadSource {
	source := PrimaryBehind
	for _, c := range candidates {
		switch {
		case c.Primary || c.Lagging:
		case c.Suspect || c.Unregistered:
			source = max(source, PrimaryDoubt)
		default:
			source = PrimarySooner
		}
	}
	return source
}

// pickReader returns the member to read from. While the primary has no
// connection to spare and no floor is known, other hosts are asked for what
// they know: after a restart of all hosts the primary is the scarcest of all.
//
// A primary that has refused the read for want of room is not asked for it again.
// Load pattern: both replicas of a group are seconds behind for 12 s, and its
// primary is offered twice what its two slots run. Asked on until its tries were
// over, each read that was refused took six trips, 1,000 to 2,500 a second to
// three hosts with a fifth of a core each.
func (a *attempts) pickReader(ctx context.Context, t *tried) (reader, error) {
	s := a.set
	if m, found := a.unguardedReader(ctx, t); found {
		return reader{member: m}, nil
	}
	bounded := a.work.Route.Consistency != catalog.Primary
	if bounded {
		if m, found := a.unboundedReader(t); found {
			return reader{member: m, unbounded: true}, nil
		}
	}
	if t.full != nil {
		return reader{}, t.full
	}
	if m, found := s.Primary(); found && (!bounded || m.hasIdle()) {
		return reader{member: m, guarded: true}, nil
	}
	if bounded && len(t.asked) == 0 && s.awaitFloor(ctx, a.work) {
		if m, found := a.unguardedReader(ctx, t); found {
			return reader{member: m}, nil
		}
	}
	m, found := s.awaitPrimary(ctx, &a.work)
	if !found {
		return reader{}, errNoPrimary
	}
	return reader{member: m, guarded: true}, nil
}

// unguardedReader returns the best member for a read whose age is bounded by
// what this host knows. A read of the caller's own commit waits for a replica
// that is behind when no other member is left.
func (a *attempts) unguardedReader(ctx context.Context, t *tried) (*Member, bool) {
	s := a.set
	now := clock.Now()
	floor, found := s.floor(a.work, now)
	if !found {
		return nil, false
	}
	readers := s.readers(a.work.Team, t.asked, floor, now)
	if len(readers) > 0 && readers[0].Usable() {
		return s.Member(readers[0].ID)
	}
	if m, found := a.awaitReplica(ctx, t, floor, now); found {
		return m, true
	}
	if len(readers) > 0 && (t.full == nil || !readers[0].Lagging) {
		return s.Member(readers[0].ID)
	}
	return nil, false
}

// unboundedReader returns a replica for a read for which this host knows no
// floor; the replica's gate finds one. Load pattern: 300 hosts share 20 groups,
// so that a host has less than a statement a second for each, and its newest
// floor is nearly always older than its reads may be. A third of all reads that
// replicas may serve went to the primary for that, beside its writes; a gate
// carries the reads of 50 hosts, and asks for a floor once for all of them.
func (a *attempts) unboundedReader(t *tried) (*Member, bool) {
	s := a.set
	if t.unbounded || !s.without.Enabled(mechanism.GateFloors) {
		return nil, false
	}
	now := clock.Now()
	readers := s.readers(a.work.Team, t.asked, s.lowerBound(a.work), now)
	if len(readers) == 0 || readers[0].Primary || !readers[0].Usable() {
		return nil, false
	}
	return s.Member(readers[0].ID)
}

// readers returns the members that may serve a read, the best first. Members
// that leave are passed over while there are others.
func (s *Set) readers(team string, asked map[string]bool, floor logpos.Position, now time.Duration) []balance.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	primary := s.belief.Primary()
	home := s.homeOf(team, primary)
	var staying, leaving []balance.Candidate
	for id, m := range s.members {
		e := m.snapshot()
		if asked[id] || s.pastDrain(e, now) || m.absent(now) {
			continue
		}
		c := m.candidate(primary, now)
		c.AffinityElsewhere = home != "" && id != home && id != primary
		c.Lagging = id != primary && s.replica(m, floor).ShouldSkip(now)
		if e.Leaving {
			leaving = append(leaving, c)
		} else {
			staying = append(staying, c)
		}
	}
	return append(balance.Rank(staying), balance.Rank(leaving)...)
}

// homeOf returns the replica at which a team's reads meet; none where callers have
// no team. It is called with mu held.
func (s *Set) homeOf(team, primary string) string {
	if team == "" || !s.without.Enabled(mechanism.TeamReplicas) {
		return ""
	}
	home, best := "", uint64(0)
	for id := range s.members {
		if id == primary {
			continue
		}
		if score := membership.Score(team, id); home == "" || score > best {
			home, best = id, score
		}
	}
	return home
}

// replica describes what is known of a member's log for a read at a floor. It
// is called with mu held.
func (s *Set) replica(m *Member, floor logpos.Position) catchup.Replica {
	held, seen := m.lastHeld()
	distance, known := s.floors.Lag(held, floor)
	if !known {
		distance = catchup.UnknownLag
	}
	return catchup.Replica{ID: m.id, ObservedAt: seen, HasFloor: !held.Less(floor), Lag: distance}
}

// awaitReplica waits until a replica that is behind is expected to hold the
// floor. It returns false at once when none will in the time of the read.
func (a *attempts) awaitReplica(ctx context.Context, t *tried, floor logpos.Position, now time.Duration) (*Member, bool) {
	if !a.staysAt(floor) || !a.set.without.Enabled(mechanism.ReplicaWait) {
		return nil, false
	}
	best, at, found := catchup.SoonestReady(a.set.laggards(t, floor, now), now, a.work.StartBy)
	if !found || !clock.Sleep(ctx, at-now) {
		return nil, false
	}
	a.out.Held += at - now
	return a.set.Member(best.ID)
}

// laggards returns the replicas that a read may wait for.
func (s *Set) laggards(t *tried, floor logpos.Position, now time.Duration) []catchup.Replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []catchup.Replica
	for id, m := range s.members {
		if id == s.belief.Primary() || t.useless[id] || m.Doubtful(now) || m.unusable(now) || m.Leaving() {
			continue
		}
		r := s.replica(m, floor)
		// One that was asked has said that it does not hold this very floor.
		r.HasFloor = r.HasFloor && !t.asked[id]
		out = append(out, r)
	}
	return out
}
