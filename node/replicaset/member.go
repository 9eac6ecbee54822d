package replicaset

import (
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/dotterelswitch/dotterelswitch/core/balance"
	"github.com/dotterelswitch/dotterelswitch/core/connpool"
	"github.com/dotterelswitch/dotterelswitch/core/correlate"
	"github.com/dotterelswitch/dotterelswitch/core/directory"
	"github.com/dotterelswitch/dotterelswitch/core/exectime"
	"github.com/dotterelswitch/dotterelswitch/core/feature"
	"github.com/dotterelswitch/dotterelswitch/core/gateload"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/health"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/returns"
	"github.com/dotterelswitch/dotterelswitch/core/store"
)

// responseTimeSmoothing is the weight of a new sample in the moving average.
const responseTimeSmoothing = 0.15

// Member is one member of a group, with this host's connections to it.
type Member struct {
	id, service, address string
	set                  *Set
	log                  zerolog.Logger

	// mu guards the fields below. No other lock is taken while it is held.
	mu      sync.Mutex
	entry   directory.Member
	pool    *connpool.Pool
	conns   map[connpool.ConnID]*Conn
	waiters map[uint64]chan grant
	// unreported holds the dropped statements that Set.onDropped has not been told of.
	unreported   []connpool.Dropped
	nextID       uint64
	health       health.MemberDetector
	responseTime time.Duration
	// executionTimes tracks execution times by kind of statement. The kind is the
	// statement's database.
	executionTimes exectime.Times
	removed        bool
	// position is the latest known end of the member's log, observed at
	// positionAt.
	position   logpos.Position
	positionAt time.Duration
	// share is this host's share of the member's connections. It lists the gates
	// of the member if this host is not one of them.
	share gates.Share
	// loads is what the member's gates on other hosts have reported.
	loads gateload.Tracker
	// remoteInFlight counts the statements in progress on other hosts.
	remoteInFlight int
	// restartRevision is the revision of the role entry at the member's restart;
	// zero before a first restart. Entries that claim the primary role are ignored
	// unless they are newer.
	restartRevision store.Revision
	// wrongMemberUntil is the end of the backoff after another member answered
	// at this one's address.
	wrongMemberUntil time.Duration
	// alternateHosts can reach the member while this host cannot. The list is
	// valid until alternateHostsUntil.
	alternateHosts      []string
	alternateHostsUntil time.Duration
	// reportedDeadUntil is the end of validity of a gate's report that the
	// member is dead.
	reportedDeadUntil time.Duration
	// confirmedByPeers is set while another host also considers the member dead.
	confirmedByPeers bool
	// outlier holds the outcomes of the member's statements and the verdicts on it.
	outlier outlierState
	// openTimer retries opening connections after a backoff; idleTimer closes
	// expired idle connections. Each is nil while not armed.
	openTimer *time.Timer
	idleTimer *time.Timer
	returns   memberReturns
	// rejectedAnswers counts the answers that were not those of the operations in progress.
	rejectedAnswers map[correlate.Reason]int
}

func newMember(s *Set, e directory.Member, share gates.Share) *Member {
	limits := share.Limits
	limits.Unfair = !s.features.Enabled(feature.FairSlots)
	m := &Member{
		id: e.ID, service: e.Service, address: e.Address, set: s, entry: e,
		log:  s.log.With().Str("upstream", e.ID).Logger(),
		pool: connpool.New(limits), share: share, conns: map[connpool.ConnID]*Conn{}, waiters: map[uint64]chan grant{},
		returns: memberReturns{schedule: returns.New(s.host)},
	}
	m.health.TimeoutsOnly = !s.features.Enabled(feature.ObservedSilence)
	return m
}

func (m *Member) ID() string { return m.id }

// observePosition records the end of the member's log.
func (m *Member) observePosition(p logpos.Position, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setPosition(p, now)
}

// setPosition is observePosition with mu held.
func (m *Member) setPosition(p logpos.Position, now time.Duration) {
	if !p.IsZero() {
		m.position, m.positionAt = p, now
	}
}

// lastPosition returns the latest known end of the member's log and when it was
// observed.
func (m *Member) lastPosition() (logpos.Position, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.position, m.positionAt
}

// candidate describes the member for load balancing.
func (m *Member) candidate(primary, team string, now time.Duration) balance.Candidate {
	m.mu.Lock()
	defer m.mu.Unlock()
	ejected := m.ranksEjected(team, now)
	if m.id == primary {
		// A primary gets no probes, because it refuses nothing.
		ejected = m.ejection(now).Active(now)
	}
	return balance.Candidate{
		ID: m.id, Primary: m.id == primary, RoundTrip: m.set.topology.EstimateRoundTrip(m.entry.Zone),
		ResponseTime: m.responseTime, InUse: m.pool.InUse() + m.remoteInFlight, Waiting: m.pool.Waiting(),
		HasIdleConn: m.pool.Idle() > 0 || len(m.share.GateAddresses) > 0,
		Slots:       m.entry.Slots, Suspect: m.health.Suspect(now), EntryMissing: m.entry.Missing,
		Ejected: ejected,
	}
}

// remove stops the use of a member that is no longer listed. Statements in progress
// continue.
func (m *Member) remove() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removed = true
	m.closeIdle()
	m.refuseWaiters(&RefusedError{Reason: "the member has left"})
}

// refuseWaiters fails all requests that wait for a connection. It is called
// with mu held.
func (m *Member) refuseWaiters(err error) {
	for id, ch := range m.waiters {
		if m.pool.CancelWait(id) {
			delete(m.waiters, id)
			ch <- grant{err: err}
		}
	}
}

// failWaitersOnDemotion fails the requests that wait for a connection to a former
// primary, so that they can move to the new one.
func (m *Member) failWaitersOnDemotion() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refuseWaiters(&RefusedError{Reason: "another member leads now"})
}

// sameIncarnation reports whether an entry belongs to the incarnation that this
// member represents.
func (m *Member) sameIncarnation(e directory.Member) bool {
	return m.snapshot().SameIncarnation(e.Entry)
}

// acceptsPrimaryClaim reports whether to trust an entry that claims the primary
// role. A member that has restarted may have lost its log, so an entry from before
// the restart does not count.
func (m *Member) acceptsPrimaryClaim(e directory.Member) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return e.RoleRevision > m.restartRevision
}

// Incarnation identifies the member's current incarnation in messages between
// hosts.
func (m *Member) Incarnation() string {
	e := m.snapshot()
	if e.StartedAt == 0 {
		return m.id
	}
	return m.id + "@" + strconv.FormatUint(uint64(e.StartedAt), 10)
}

// terminate stops the use of a past incarnation and closes its connections,
// also those in use.
func (m *Member) terminate() {
	m.remove()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.conns {
		// The user of the connection removes it from the pool.
		_ = c.netConn.Close()
	}
}

// wrongMemberBackoff is how long a member is not contacted after another one
// answered at its address. Each attempt would cost the other member a login;
// meanwhile the entry expires or the member registers again.
const wrongMemberBackoff = time.Second

// observeWrongMember records that another member answered at this one's
// address.
func (m *Member) observeWrongMember(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wrongMemberUntil = now + wrongMemberBackoff
}

// inWrongMemberBackoff reports whether another member has recently answered at
// this one's address.
func (m *Member) inWrongMemberBackoff(now time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now < m.wrongMemberUntil
}

// update applies a newer entry and share.
func (m *Member) update(e directory.Member, share gates.Share) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entry = e
	m.pool.SetLimits(share.Limits)
	m.share = share
}

// gateAddresses returns the gates that this host sends statements to, in order
// of preference; none if this host is a gate itself.
func (m *Member) gateAddresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.share.GateAddresses
}

// otherGates returns the addresses of the gates other than a host, in order of preference.
func (m *Member) otherGates(host string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.share.GateAddresses) > 0 {
		return m.share.GateAddresses
	}
	var addresses []string
	for _, gate := range m.share.GateHosts {
		if gate.Name != host {
			addresses = append(addresses, gate.Address)
		}
	}
	return addresses
}

// gateRank returns how many gates of the member precede a host in the order that all
// hosts agree on.
func (m *Member) gateRank(host string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	rank := 0
	for _, gate := range m.share.GateHosts {
		if gate.Name < host {
			rank++
		}
	}
	return rank
}

// IsGate reports whether this host is a gate of the member.
func (m *Member) IsGate() bool { return len(m.gateAddresses()) == 0 }

// remoteStarted records the start of a statement on another host.
func (m *Member) remoteStarted() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.remoteInFlight++
}

// remoteEnded records the end of a statement on another host. ran is set if the
// member answered it.
func (m *Member) remoteEnded(began, now time.Duration, ran bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.remoteInFlight--
	if ran {
		m.responseTime += time.Duration(responseTimeSmoothing * float64(now-began-m.responseTime))
	}
}

func (m *Member) snapshot() directory.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entry
}

// Leaving reports whether the member has announced its shutdown.
func (m *Member) Leaving() bool { return m.snapshot().Leaving }

// hasIdleConn reports whether an idle connection is available, here or through
// a gate.
func (m *Member) hasIdleConn() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pool.Idle() > 0 || len(m.share.GateAddresses) > 0
}
