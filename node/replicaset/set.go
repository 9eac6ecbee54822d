package replicaset

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/dotterelswitch/dotterelswitch/core/balance"
	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/directory"
	"github.com/dotterelswitch/dotterelswitch/core/fresh"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

const (
	// stalenessMargin is taken off a staleness bound, for the way of a read to
	// its member.
	stalenessMargin = 100 * time.Millisecond
	// leaveMargin is how long before the platform's bound a leaving member gets
	// its last new statement: a statement that waits for a connection and the
	// way there must fit in.
	leaveMargin = 2 * time.Second
	// reservedConnections is how many of a member's connections the hosts leave
	// for probes and promotions.
	reservedConnections = 1
)

// Places tells how far zones are from each other.
type Places struct {
	Zone    string
	Regions map[string]string
}

// The round trips between places: typical figures of the deployments, used only
// to order members.
const (
	sameZoneTrip   = 400 * time.Microsecond
	sameRegionTrip = 2 * time.Millisecond
	farTrip        = 30 * time.Millisecond
)

// RoundTrip estimates the time to a zone and back.
func (p Places) RoundTrip(zone string) time.Duration {
	switch {
	case zone == p.Zone:
		return sameZoneTrip
	case p.Regions[zone] != "" && p.Regions[zone] == p.Regions[p.Zone]:
		return sameRegionTrip
	default:
		return farTrip
	}
}

// Config is what a Set needs from its surroundings.
type Config struct {
	Service string
	Dial    DialFunc
	Proto   Protocol
	Places  Places
	// DrainBound is the latest time after its notice at which a leaving member
	// may be sent new work.
	DrainBound time.Duration
	// AskPeers asks other hosts for a floor; it does not wait. Answers come
	// through LearnFloor.
	AskPeers func(service string)
	// Remote runs jobs on other hosts; nil keeps all of them here.
	Remote Remote
	// Owner names this host and its incarnation in transactions that it opens
	// on other hosts.
	Owner string
	// Host is this host's name among those that Update lists.
	Host string
	Log  zerolog.Logger
}

// Set is one database group. It is safe for concurrent use. Set.mu is taken
// before Member.mu.
type Set struct {
	service string
	dial    DialFunc
	proto   Protocol
	places  Places
	drain   time.Duration
	ask     func(service string)
	remote  Remote
	owner   string
	host    string
	// gateHealth tells which hosts answer what is sent to them.
	gateHealth gateHealth
	txs        txTable
	log        zerolog.Logger
	// attention wakes the prober.
	attention chan struct{}

	// mu guards the fields below.
	mu      sync.Mutex
	members map[string]*Member
	belief  succession.Belief
	floors  fresh.Floors
	spec    catalog.Service
	// changed is closed and replaced when the primary may have changed.
	changed chan struct{}
	// learned is closed and replaced when a peer has told a floor.
	learned chan struct{}
	// leaderlessSince is when no usable primary was first found; zero while
	// there is one.
	leaderlessSince time.Duration
	// askedAt is when peers were last asked.
	askedAt time.Duration
}

// New returns a set without members.
func New(cfg Config) *Set {
	return &Set{
		service: cfg.Service, dial: cfg.Dial, proto: cfg.Proto, places: cfg.Places, drain: cfg.DrainBound,
		ask: cfg.AskPeers, remote: cfg.Remote, owner: cfg.Owner, host: cfg.Host, learned: make(chan struct{}),
		log:       cfg.Log.With().Str("service", cfg.Service).Logger(),
		attention: make(chan struct{}, 1), members: map[string]*Member{}, changed: make(chan struct{}),
	}
}

func (s *Set) roundTrip(zone string) time.Duration { return s.places.RoundTrip(zone) }

// Update takes the members and limits in force.
func (s *Set) Update(members []directory.Member, spec catalog.Service, hosts []gates.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spec = spec
	plan := gates.NewPlan(hosts, s.places.Regions, spec.MaxConnections-reservedConnections)
	before := s.belief.Primary()
	listed := map[string]bool{}
	for _, e := range members {
		listed[e.ID] = true
		share := plan.For(e.ID, e.Zone, s.host)
		if m, found := s.members[e.ID]; found {
			m.update(e, share)
		} else {
			s.members[e.ID] = newMember(s, e, share)
			eventlog.UpstreamKnown.Info(s.log).Str("upstream", e.ID).Str("address", e.Address).Bool("primary", e.Primary).Send()
		}
		if e.Primary {
			s.belief.Claimed(e.ID, e.RoleRevision)
		} else {
			s.belief.Resigned(e.ID)
		}
	}
	for id, m := range s.members {
		if !listed[id] {
			delete(s.members, id)
			s.belief.Resigned(id)
			m.remove()
			eventlog.UpstreamGone.Info(s.log).Str("upstream", id).Send()
		}
	}
	s.notePrimary(before, "directory")
}

// notePrimary wakes those that wait for a primary when it has changed. It is
// called with mu held.
func (s *Set) notePrimary(before, source string) {
	now := s.belief.Primary()
	if now == before {
		return
	}
	eventlog.PrimaryChanged.Info(s.log).Str("upstream", now).Str("was", before).Str("source", source).
		Uint64("term", uint64(s.belief.Term())).Send()
	close(s.changed)
	s.changed = make(chan struct{})
	if now == "" {
		s.wake()
	}
}

// wake has the prober look now.
func (s *Set) wake() {
	select {
	case s.attention <- struct{}{}:
	default:
	}
}

// suspected notes that an exchange with a member failed.
func (s *Set) suspected(*Member) { s.wake() }

// denied notes that a member refused to act as primary.
func (s *Set) denied(m *Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.belief.Primary()
	s.belief.Denied(m.id)
	s.notePrimary(before, "refused as replica")
}

// proved notes an exchange, sent at the given time, that only the primary can
// have, and the position that it reported.
func (s *Set) proved(m *Member, p logpos.Position, sent time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.belief.Primary()
	s.floors.Observe(p, sent)
	if _, known := s.members[m.id]; known {
		s.belief.Proved(m.id, p.Term)
	}
	s.notePrimary(before, "proof")
}

// floor returns the position that a read must find, from what is known now.
func (s *Set) floor(w Work, now time.Duration) (logpos.Position, bool) {
	if w.Route.Consistency == catalog.Primary {
		return logpos.Position{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.floors.Lookup(now-w.Route.MaxStaleness+stalenessMargin, w.Committed)
}

// Primary returns the member believed to be the primary, if it may be used: it
// is not past its leave, and this host has not found it dead.
func (s *Set) Primary() (*Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	m, found := s.members[s.belief.Primary()]
	if found && !s.pastDrain(m.snapshot(), now) && !m.unusable(now) {
		s.leaderlessSince = 0
		return m, true
	}
	if s.leaderlessSince == 0 {
		s.leaderlessSince = now
	}
	return nil, false
}

// pastDrain reports whether a leaving member must get no new work any more.
func (s *Set) pastDrain(e directory.Member, now time.Duration) bool {
	return e.Leaving && now-e.LeavingSince > s.drain-leaveMargin
}

const (
	// failoverTime is how long a group may be without a primary while one is
	// still expected soon: the silence that counts as death, the hosts' turns,
	// and a promotion of up to a second. After it statements are refused at once.
	failoverTime = 3500 * time.Millisecond
	// leaderPoll is how often a statement that waits for a primary looks whether
	// the old one answers again.
	leaderPoll = 50 * time.Millisecond
)

// awaitPrimary waits until a primary is known, as long as one can be expected.
// A statement that waited for one gets the time to queue that it would have
// had without.
func (s *Set) awaitPrimary(ctx context.Context, w *Work) (*Member, bool) {
	began := clock.Now()
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		now := clock.Now()
		if m, found := s.Primary(); found {
			w.StartBy = min(w.StartBy+now-began, max(w.HoldBy, w.StartBy))
			return m, true
		}
		if now >= s.holdUntil(w) {
			return nil, false
		}
		timer := time.NewTimer(leaderPoll)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, false
		}
		timer.Stop()
	}
}

// holdUntil returns when a statement is refused unless a primary is found.
func (s *Set) holdUntil(w *Work) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(w.HoldBy, s.leaderlessSince+failoverTime)
}

// readers returns the members that may serve a read, the best first. Members
// that leave are passed over while there are others.
func (s *Set) readers(tried map[string]bool, now time.Duration) []*Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	primary := s.belief.Primary()
	var staying, leaving []balance.Candidate
	for id, m := range s.members {
		e := m.snapshot()
		if tried[id] || s.pastDrain(e, now) {
			continue
		}
		if e.Leaving {
			leaving = append(leaving, m.candidate(primary, now))
		} else {
			staying = append(staying, m.candidate(primary, now))
		}
	}
	var out []*Member
	for _, c := range append(balance.Order(staying), balance.Order(leaving)...) {
		out = append(out, s.members[c.ID])
	}
	return out
}

// Members returns all members.
func (s *Set) Members() []*Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*Member, 0, len(s.members))
	for _, m := range s.members {
		out = append(out, m)
	}
	return out
}

// Member returns a member by name.
func (s *Set) Member(id string) (*Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, found := s.members[id]
	return m, found
}

// Believed returns the member that is taken for the primary, whether or not it
// may still be used.
func (s *Set) Believed() (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.belief.Primary()
	return id, id != ""
}

// Term returns the newest term that is known.
func (s *Set) Term() logpos.Term {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.belief.Term(), s.floors.Term())
}

// Floor returns the newest position that is known to cover every commit
// acknowledged before a time, for a host that asks.
func (s *Set) Floor() (logpos.Position, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.floors.Newest()
}

// LearnFloor takes a floor from another host.
func (s *Set) LearnFloor(p logpos.Position, sent time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floors.Observe(p, sent)
	close(s.learned)
	s.learned = make(chan struct{})
}

// askInterval spaces the questions to peers about one service.
const askInterval = 50 * time.Millisecond

// askPeers asks other hosts for a floor, unless they were just asked. It
// returns a channel that is closed when one has answered.
func (s *Set) askPeers(now time.Duration) <-chan struct{} {
	s.mu.Lock()
	due := now-s.askedAt >= askInterval
	if due {
		s.askedAt = now
	}
	learned := s.learned
	s.mu.Unlock()
	if due && s.ask != nil {
		s.ask(s.service)
	}
	return learned
}
