package replicaset

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/directory"
	"github.com/dotterelswitch/dotterelswitch/core/fresh"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/mechanism"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
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

// Region returns the region of a zone; a zone of no known region is one by itself.
func (p Places) Region(zone string) string {
	if region := p.Regions[zone]; region != "" {
		return region
	}
	return zone
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
	// Suspected is called, without a lock, when an exchange with a member fails
	// after others succeeded; nil for nobody.
	Suspected func()
	// Remote runs jobs on other hosts; nil keeps all of them here.
	Remote Remote
	// Owner names this host and its incarnation in transactions that it opens
	// on other hosts.
	Owner string
	// Host is this host's name among those that Update lists.
	Host string
	// Without is what the host is run without.
	Without mechanism.Disabled
	Log     zerolog.Logger
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
	suspect func()
	remote  Remote
	owner   string
	host    string
	without mechanism.Disabled
	// gateHealth tells which hosts answer what is sent to them.
	gateHealth gateHealth
	txs        txTable
	log        zerolog.Logger
	// attention wakes the prober.
	attention chan struct{}

	// mu guards the fields below.
	mu      sync.Mutex
	members map[string]*Member
	// shares are this host's in the members' connections.
	shares *gates.ShareCache
	// votes tells that this host is one of those that judge the primary.
	votes      bool
	electorate *succession.VoterSet
	belief     succession.PrimaryTracker
	// reached is how far the newest primary's log is known to go.
	reached succession.HighWaterMark
	floors  fresh.Floors
	// wroteIn is the newest term in which a write was acknowledged here.
	wroteIn logpos.Term
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
		ask: cfg.AskPeers, suspect: cfg.Suspected, remote: cfg.Remote, owner: cfg.Owner, host: cfg.Host, without: cfg.Without, learned: make(chan struct{}),
		log:       cfg.Log.With().Str("service", cfg.Service).Logger(),
		attention: make(chan struct{}, 1), members: map[string]*Member{}, changed: make(chan struct{}),
		shares: gates.NewShareCache(cfg.Host), electorate: succession.NewVoterSet(cfg.Service),
	}
}

// Update takes the members and limits in force.
func (s *Set) Update(members []directory.Member, spec catalog.Service, fleet gates.Fleet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	plan := gates.NewPlan(fleet, spec.MaxConnections-reservedConnections)
	s.votes = s.electorate.IsVoter(s.host, fleet)
	before := s.belief.Primary()
	listed := map[string]bool{}
	for _, e := range members {
		listed[e.ID] = true
		share := s.shareOf(plan, gates.Member{ID: e.ID, Zone: e.Zone, Slots: e.Slots})
		m := s.present(e, share)
		if e.Primary && m.mayClaim(e) {
			s.belief.ObserveClaim(e.ID, e.RoleRevision)
		}
		if !e.Primary {
			s.belief.ObserveResignation(e.ID)
		}
	}
	for id, m := range s.members {
		if !listed[id] {
			delete(s.members, id)
			s.shares.Forget(id)
			s.belief.ObserveResignation(id)
			m.remove()
			eventlog.UpstreamGone.Info(s.log).Str("upstream", id).Send()
		}
	}
	s.notePrimary(before, "directory")
}

// shareOf returns this host's share of a member's connections. It is called with
// mu held.
func (s *Set) shareOf(plan gates.Plan, m gates.Member) gates.Share {
	if !s.without.Enabled(mechanism.Gates) {
		return plan.EvenShare()
	}
	return s.shares.For(plan, m)
}

// present returns the member of an entry with the entry taken in. It is called
// with mu held.
func (s *Set) present(e directory.Member, share gates.Share) *Member {
	m, found := s.members[e.ID]
	if found && m.sameLife(e) {
		m.update(e, share)
		return m
	}
	next := newMember(s, e, share)
	s.members[e.ID] = next
	if !found {
		eventlog.UpstreamKnown.Info(s.log).Str("upstream", e.ID).Str("address", e.Address).Bool("primary", e.Primary).Send()
		return next
	}
	// The new life holds nothing of what the earlier one held: its connections,
	// its lead and its health are void, and an answer that is still awaited of it
	// will not come.
	next.restarted = e.RoleRevision
	s.belief.ObserveResignation(e.ID)
	m.end()
	eventlog.UpstreamRestarted.Info(s.log).Str("upstream", e.ID).Str("address", e.Address).Uint64("started_at", uint64(e.StartedAt)).Send()
	return next
}

// Votes reports whether this host is one of those that judge the primary.
func (s *Set) Votes() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.votes
}

// suspected tells that a member may be lost.
func (s *Set) suspected() {
	if s.suspect != nil {
		s.suspect()
	}
}

// wake has the prober look now.
func (s *Set) wake() {
	select {
	case s.attention <- struct{}{}:
	default:
	}
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
