package replicaset

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/balance"
	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/catchup"
	"github.com/dotterelswitch/dotterelswitch/core/feature"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/membership"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// reader is the member chosen for a read.
type reader struct {
	member *Member
	// verifyPrimary is set when the read must be one that only the current primary
	// can answer (JobPrimaryRead): the route requires it, or no floor is known.
	verifyPrimary bool
	// floorFromGate is set when this host knows no floor and the member's gate
	// must determine one.
	floorFromGate bool
	// ignoreEjection is set when the member is ejected and no other one can serve.
	ignoreEjection bool
}

// source returns why a read goes to a member. It is called before the read is
// sent.
func (a *attempts) source(r reader) ReadSource {
	switch {
	case r.verifyPrimary && a.request.Route.Consistency == catalog.Primary:
		return PrimaryByRoute
	case r.verifyPrimary:
		return PrimaryNoFloor
	case !a.set.isAssumedPrimary(r.member):
		return ByReplica
	}
	now := clock.Now()
	floor, found := a.set.floor(a.request, now)
	if !found {
		return PrimaryNoFloor
	}
	return primaryReason(a.set.rankReaders(&a.request, nil, floor, now))
}

// primaryReason returns why the primary ranks before the replicas.
func primaryReason(candidates []balance.Candidate) ReadSource {
	source := PrimaryReplicasLagging
	for _, c := range candidates {
		switch {
		case c.Primary || c.Lagging:
		case c.Suspect || c.EntryMissing || c.Ejected:
			source = max(source, PrimaryReplicasSuspect)
		default:
			source = PrimaryFaster
		}
	}
	return source
}

// pickReader returns the member to read from. If no floor is known and the
// primary has no idle connection, other hosts are asked for a floor first, to
// spare the primary.
//
// A primary that refused the read as overloaded is not asked again for it. While
// all replicas lag, such retries would overload the gates as well.
func (a *attempts) pickReader(ctx context.Context, progress *readProgress) (reader, error) {
	s := a.set
	if a.failed != nil {
		return a.pickOtherReader(progress)
	}
	if err := a.refusalByReports(clock.Now()); err != nil {
		return reader{}, err
	}
	if m, ejected, found := a.boundedReader(ctx, progress); found {
		return readerOf(m, ejected, progress)
	}
	if m, found := a.ejectedReader(progress); found {
		return reader{member: m, ignoreEjection: true}, nil
	}
	bounded := a.request.Route.Consistency != catalog.Primary
	if bounded {
		if m, found := a.gateBoundedReader(progress); found {
			return reader{member: m, floorFromGate: true}, nil
		}
		if m, found := a.gateEjectedReader(progress); found {
			return reader{member: m, floorFromGate: true, ignoreEjection: true}, nil
		}
	}
	if progress.primaryOverload != nil {
		return reader{}, progress.primaryOverload
	}
	if m, found := s.Primary(); found && (!bounded || m.hasIdleConn()) {
		return reader{member: m, verifyPrimary: true}, nil
	}
	if bounded && len(progress.attempted) == 0 && s.awaitFloor(ctx, a.request) {
		if m, ejected, found := a.boundedReader(ctx, progress); found {
			return readerOf(m, ejected, progress)
		}
	}
	m, found := s.awaitPrimary(ctx, &a.request, false)
	if !found {
		return reader{}, errNoPrimary
	}
	return reader{member: m, verifyPrimary: true}, nil
}

// boundedReader returns the best member for a read whose floor this host knows, and
// whether it is ejected. If only lagging members are left, a read of the caller's own
// commit waits for a replica to catch up.
func (a *attempts) boundedReader(ctx context.Context, progress *readProgress) (m *Member, ejected, found bool) {
	s := a.set
	now := clock.Now()
	floor, found := s.floor(a.request, now)
	if !found {
		return nil, false, false
	}
	readers := s.rankReaders(&a.request, progress.attempted, floor, now)
	if len(readers) > 0 && readers[0].Healthy() {
		m, found = s.Member(readers[0].ID)
		return m, false, found
	}
	if m, found = a.awaitReplica(ctx, progress, floor, now); found {
		return m, false, true
	}
	if len(readers) > 0 && (progress.primaryOverload == nil || !readers[0].Lagging) {
		m, found = s.Member(readers[0].ID)
		return m, readers[0].Ejected, found
	}
	return nil, false, false
}

// gateBoundedReader returns a replica for a read for which this host knows no
// floor; the replica's gate determines one. In a large fleet a host sends too
// few statements per group to know a recent floor, while a gate serves many
// hosts and asks for a floor once for all of them.
func (a *attempts) gateBoundedReader(progress *readProgress) (*Member, bool) {
	s := a.set
	if progress.gateLacksFloor || !s.features.Enabled(feature.GateFloors) {
		return nil, false
	}
	now := clock.Now()
	readers := s.rankReaders(&a.request, progress.attempted, s.lowerBound(a.request), now)
	if len(readers) == 0 || readers[0].Primary || !readers[0].Healthy() {
		return nil, false
	}
	return s.Member(readers[0].ID)
}

// rankReaders returns the members that may serve a read, in order of
// preference. Draining members come last.
func (s *Set) rankReaders(req *Request, attempted map[string]bool, floor logpos.Position, now time.Duration) []balance.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	primary := s.primaryTracker.Primary()
	preferred := s.affinityReplica(req.Team, primary)
	var active, draining []balance.Candidate
	for id, m := range s.members {
		if attempted[id] || s.excludedFromReads(m, now) {
			continue
		}
		c := m.candidate(primary, req.Team, now)
		c.NotPreferred = preferred != "" && id != preferred && id != primary
		c.Lagging = id != primary && s.replicaState(m, floor).KnownBehind(now)
		if m.Leaving() {
			draining = append(draining, c)
		} else {
			active = append(active, c)
		}
	}
	return append(s.rank(active, req, now), s.rank(draining, req, now)...)
}

// excludedFromReads reports whether no read is sent to a member.
func (s *Set) excludedFromReads(m *Member, now time.Duration) bool {
	return s.pastDrain(m.snapshot(), now) || m.inWrongMemberBackoff(now)
}

// affinityReplica returns the replica preferred for a team's reads; empty for
// callers without a team. It is called with mu held.
func (s *Set) affinityReplica(team, primary string) string {
	if team == "" || !s.features.Enabled(feature.TeamReplicas) {
		return ""
	}
	preferred, bestScore := "", uint64(0)
	for id := range s.members {
		if id == primary {
			continue
		}
		if score := membership.Score(team, id); preferred == "" || score > bestScore {
			preferred, bestScore = id, score
		}
	}
	return preferred
}

// replicaState describes a member's log relative to a floor. It is called with
// mu held.
func (s *Set) replicaState(m *Member, floor logpos.Position) catchup.Replica {
	position, observedAt := m.lastPosition()
	lag, known := s.floors.Lag(position, floor)
	if !known {
		lag = catchup.UnknownLag
	}
	return catchup.Replica{ID: m.id, ObservedAt: observedAt, CaughtUp: !position.Less(floor), Lag: lag}
}

// awaitReplica waits until a lagging replica is expected to reach the floor. It
// returns false immediately if none will in time.
func (a *attempts) awaitReplica(ctx context.Context, progress *readProgress, floor logpos.Position, now time.Duration) (*Member, bool) {
	if !a.floorIsFixed(floor) || !a.set.features.Enabled(feature.ReplicaWait) {
		return nil, false
	}
	best, at, found := catchup.SoonestReady(a.set.awaitableReplicas(progress, floor, now), now, a.request.StartDeadline)
	if !found || !clock.Sleep(ctx, at-now) {
		return nil, false
	}
	a.outcome.ReplicaWait += at - now
	return a.set.Member(best.ID)
}

// awaitableReplicas returns the replicas that a read may wait for.
func (s *Set) awaitableReplicas(progress *readProgress, floor logpos.Position, now time.Duration) []catchup.Replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []catchup.Replica
	for id, m := range s.members {
		if id == s.primaryTracker.Primary() || progress.excluded[id] || m.Suspect(now) || m.unreachable(now) || m.Leaving() || m.Ejection(now).Active(now) {
			continue
		}
		r := s.replicaState(m, floor)
		// A replica that was tried has answered that it has not reached this
		// floor.
		r.CaughtUp = r.CaughtUp && !progress.attempted[id]
		out = append(out, r)
	}
	return out
}
