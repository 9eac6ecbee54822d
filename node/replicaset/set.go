package replicaset

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/connpool"
	"github.com/dotterelswitch/dotterelswitch/core/directory"
	"github.com/dotterelswitch/dotterelswitch/core/feature"
	"github.com/dotterelswitch/dotterelswitch/core/fresh"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/returns"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

const (
	// stalenessMargin is subtracted from a staleness bound to allow for the
	// time from sending a read to its execution.
	stalenessMargin = 100 * time.Millisecond
	// drainMargin is subtracted from the drain timeout of a leaving member. It
	// allows for the wait for a connection and the network delay of the last
	// statement.
	drainMargin = 2 * time.Second
	// reservedConnections is the number of connections per member that are
	// reserved for probes and promotions.
	reservedConnections = 1
)

// Topology maps zones to regions and names this host's zone.
type Topology struct {
	Zone    string
	Regions map[string]string
}

// Region returns the region of a zone. A zone without a known region is its own
// region.
func (p Topology) Region(zone string) string {
	if region := p.Regions[zone]; region != "" {
		return region
	}
	return zone
}

// Typical round-trip times, used only to rank members.
const (
	sameZoneRTT    = 400 * time.Microsecond
	sameRegionRTT  = 2 * time.Millisecond
	crossRegionRTT = 30 * time.Millisecond
)

// EstimateRoundTrip estimates the round-trip time to a zone.
func (p Topology) EstimateRoundTrip(zone string) time.Duration {
	switch {
	case zone == p.Zone:
		return sameZoneRTT
	case p.Regions[zone] != "" && p.Regions[zone] == p.Regions[p.Zone]:
		return sameRegionRTT
	default:
		return crossRegionRTT
	}
}

// Config configures a Set.
type Config struct {
	Service  string
	Dial     DialFunc
	Proto    Protocol
	Topology Topology
	// DrainTimeout is how long a leaving member may be sent new work after it has
	// announced its shutdown.
	DrainTimeout time.Duration
	// RequestFloor asks other hosts for a floor without waiting. Answers arrive
	// through ObserveFloor.
	RequestFloor func(service string)
	// OnSuspect is called, without locks held, when an exchange with a member
	// fails after others succeeded; may be nil.
	OnSuspect func()
	// OnDropped is called, without locks held, when a waiting statement is refused
	// because another one took its place or because it cannot start in time any more; may
	// be nil.
	OnDropped func(member string, d connpool.Dropped)
	// CommitsHeld reports whether this host must not acknowledge commits, and since when;
	// if nil, it always may.
	CommitsHeld func() (since time.Duration, held bool)
	// Remote runs jobs on other hosts; if nil, all jobs run here.
	Remote Remote
	// Owner identifies this host and its incarnation in transactions that it
	// opens on other hosts.
	Owner string
	// Host is this host's name in the fleet passed to Update.
	Host string
	// Features tells which features are disabled.
	Features feature.Set
	// Random is used to spread reads over members, under a lock of the set. If nil, the
	// set seeds one.
	Random *rand.Rand
	// LogBudget limits repeated log lines; if nil, the set has one of its own.
	LogBudget *eventlog.RateLimiter
	Log       zerolog.Logger
}

// Set is one database group. It is safe for concurrent use. Lock order: Set.mu
// before Member.mu.
type Set struct {
	service      string
	dial         DialFunc
	proto        Protocol
	topology     Topology
	drainTimeout time.Duration
	requestFloor func(service string)
	onSuspect    func()
	onDropped    func(string, connpool.Dropped)
	holdsCommits func() (time.Duration, bool)
	remote       Remote
	owner        string
	host         string
	features     feature.Set
	logBudget    *eventlog.RateLimiter
	loadCounters loadCounters
	// gateHealth tracks which gates answer their jobs.
	gateHealth gateHealth
	txs        txTable
	// rerunBudget bounds the reads that run again on another member after a failure.
	rerunBudget *rerunBudget
	// logChecks deduplicates comparisons of logs by member.
	logChecks singleflight.Group
	log       zerolog.Logger
	// probeRequested wakes Probe.
	probeRequested chan struct{}

	// mu guards the fields below.
	mu      sync.Mutex
	members map[string]*Member
	// random spreads reads over members.
	random *rand.Rand
	// shareCache holds this host's shares of the members' connections.
	shareCache *gates.ShareCache
	// isVoter is set if this host votes on the primary's failure.
	isVoter        bool
	voters         *succession.VoterSet
	primaryTracker succession.PrimaryTracker
	// highWaterMark is the furthest known position of the current primary's
	// log.
	highWaterMark succession.HighWaterMark
	// expected is the promotion that this host has requested last.
	expected expectedPromotion
	floors   fresh.Floors
	// lastWriteTerm is the latest term in which a write was acknowledged here.
	lastWriteTerm logpos.Term
	// primaryChanged is closed and replaced when the primary changes.
	primaryChanged chan struct{}
	// floorObserved is closed and replaced when a peer has reported a floor.
	floorObserved chan struct{}
	// noPrimarySince is when the lack of a usable primary was first noticed;
	// zero while there is one.
	noPrimarySince time.Duration
	// floorRequestedAt is when peers were last asked for a floor.
	floorRequestedAt time.Duration
	returns          groupReturns
}

func New(cfg Config) *Set {
	if cfg.Random == nil {
		cfg.Random = newRandom()
	}
	if cfg.LogBudget == nil {
		cfg.LogBudget = eventlog.NewRateLimiter()
	}
	return &Set{
		service: cfg.Service, dial: cfg.Dial, proto: cfg.Proto, topology: cfg.Topology, drainTimeout: cfg.DrainTimeout,
		requestFloor: cfg.RequestFloor, onSuspect: cfg.OnSuspect, onDropped: cfg.OnDropped, holdsCommits: cfg.CommitsHeld, remote: cfg.Remote, owner: cfg.Owner, host: cfg.Host, features: cfg.Features, floorObserved: make(chan struct{}),
		log:            cfg.Log.With().Str("service", cfg.Service).Logger(),
		probeRequested: make(chan struct{}, 1), members: map[string]*Member{}, primaryChanged: make(chan struct{}),
		random: cfg.Random, logBudget: cfg.LogBudget,
		shareCache: gates.NewShareCache(cfg.Host), voters: succession.NewVoterSet(cfg.Service), rerunBudget: newRerunBudget(),
		returns: groupReturns{memberReturns: memberReturns{schedule: returns.New(cfg.Host)}},
	}
}

// PooledConnections returns how many connections of each member the gates of a service
// share.
func PooledConnections(spec catalog.Service) int { return spec.MaxConnections - reservedConnections }

// Update applies the current members and limits.
func (s *Set) Update(members []directory.Member, spec catalog.Service, fleet gates.Fleet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	plan := gates.NewPlan(fleet, PooledConnections(spec))
	s.isVoter = s.voters.IsVoter(s.host, fleet)
	s.returns.hosts = fleet.Size()
	before := s.primaryTracker.Primary()
	listed := map[string]bool{}
	for _, e := range members {
		listed[e.ID] = true
		share := s.shareOf(plan, gates.Member{ID: e.ID, Zone: e.Zone, Slots: e.Slots})
		m := s.upsertMember(e, share)
		if e.Primary && m.acceptsPrimaryClaim(e) {
			s.primaryTracker.ObserveClaim(e.ID, e.RoleRevision)
		}
		if !e.Primary {
			s.primaryTracker.ObserveReplicaEntry(e.ID, e.RoleRevision)
		}
	}
	for id, m := range s.members {
		if !listed[id] {
			delete(s.members, id)
			s.shareCache.Forget(id)
			s.primaryTracker.ObserveGone(id)
			m.remove()
			eventlog.UpstreamGone.Info(s.log).Str("upstream", id).Send()
		}
	}
	s.notifyPrimaryChange(before, "directory")
}

// shareOf returns this host's share of a member's connections. It is called
// with mu held.
func (s *Set) shareOf(plan gates.Plan, m gates.Member) gates.Share {
	if !s.features.Enabled(feature.Gates) {
		return plan.EvenShare()
	}
	return s.shareCache.For(plan, m)
}

// upsertMember creates or updates the member of an entry. It is called with mu
// held.
func (s *Set) upsertMember(e directory.Member, share gates.Share) *Member {
	m, found := s.members[e.ID]
	if found && m.sameIncarnation(e) {
		m.update(e, share)
		return m
	}
	created := newMember(s, e, share)
	s.members[e.ID] = created
	if !found {
		eventlog.UpstreamKnown.Info(s.log).Str("upstream", e.ID).Str("address", eventlog.Text(e.Address)).Bool("primary", e.Primary).Send()
		return created
	}
	// A new incarnation invalidates the connections, the leadership and the
	// health of the previous one, and pending requests will not be answered.
	created.restartRevision = e.RoleRevision
	s.primaryTracker.ObserveResignation(e.ID)
	s.highWaterMark.ObserveRestart(e.ID)
	m.terminate()
	eventlog.UpstreamRestarted.Info(s.log).Str("upstream", e.ID).Str("address", eventlog.Text(e.Address)).Uint64("started_at", uint64(e.StartedAt)).Send()
	return created
}

// Quiescent reports whether this host has no connection to the members and no work under
// way or waiting for them.
func (s *Set) Quiescent() bool {
	for _, m := range s.Members() {
		m.mu.Lock()
		busy := m.pool.Open() > 0 || m.pool.Waiting() > 0 || m.remoteInFlight > 0
		m.mu.Unlock()
		if busy {
			return false
		}
	}
	return s.OpenTransactions() == 0
}

// IsVoter reports whether this host votes on the primary's failure.
func (s *Set) IsVoter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isVoter
}

func (s *Set) notifySuspect() {
	if s.onSuspect != nil {
		s.onSuspect()
	}
}

// requestProbe wakes Probe without blocking.
func (s *Set) requestProbe() {
	select {
	case s.probeRequested <- struct{}{}:
	default:
	}
}

func (s *Set) Members() []*Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*Member, 0, len(s.members))
	for _, m := range s.members {
		out = append(out, m)
	}
	return out
}

func (s *Set) Member(id string) (*Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, found := s.members[id]
	return m, found
}
