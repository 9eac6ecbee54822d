package replicaset

import (
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/dotterelswitch/dotterelswitch/core/balance"
	"github.com/dotterelswitch/dotterelswitch/core/connpool"
	"github.com/dotterelswitch/dotterelswitch/core/directory"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/health"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/mechanism"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/core/worktime"
)

// answerSmoothing is the weight of a new sample in the mean answer time.
const answerSmoothing = 0.15

// Member is one member of a group, with this host's connections to it.
type Member struct {
	id, service, address string
	set                  *Set
	log                  zerolog.Logger

	// mu guards the fields below. Nothing is called out while it is held.
	mu      sync.Mutex
	entry   directory.Member
	pool    *connpool.Pool
	conns   map[connpool.ConnID]*Conn
	waiters map[uint64]chan grant
	nextID  uint64
	health  health.MemberDetector
	answer  time.Duration
	// times tells the kinds of statements, which are the databases, apart.
	times   worktime.Times
	removed bool
	// held is the end of its log when that was last seen, at heldAt.
	held   logpos.Position
	heldAt time.Duration
	// share names the hosts that keep this member's connections, unless this one
	// does; elsewhere counts the statements that run there.
	share     gates.Share
	elsewhere int
	// restarted is the version of the role that a new life of the member began
	// with; zero for a first life. What it says of its role then is not believed.
	restarted store.Revision
	// absentUntil is until when the member is not asked, because another one
	// answered at its address.
	absentUntil time.Duration
	// detours are hosts that reach the member while this one does not, known until
	// detoursUntil.
	detours      []string
	detoursUntil time.Duration
	// deadUntil is how long the word of a gate counts that the member is dead.
	deadUntil time.Duration
	// corroborated tells that another host has called the member dead.
	corroborated bool
	// openTimer has the pool asked again when a pause ends, surplusTimer when
	// an idle connection is to be closed; nil while none is set.
	openTimer    *time.Timer
	surplusTimer *time.Timer
}

func newMember(s *Set, e directory.Member, share gates.Share) *Member {
	m := &Member{
		id: e.ID, service: e.Service, address: e.Address, set: s, entry: e,
		log:  s.log.With().Str("upstream", e.ID).Logger(),
		pool: connpool.New(share.Limits), share: share, conns: map[connpool.ConnID]*Conn{}, waiters: map[uint64]chan grant{},
	}
	m.health.TimeoutsOnly = !s.without.Enabled(mechanism.ObservedSilence)
	return m
}

// ID returns the member's name.
func (m *Member) ID() string { return m.id }

// holds notes the end of the member's log in an answer.
func (m *Member) holds(p logpos.Position, now time.Duration) {
	if p.IsZero() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held, m.heldAt = p, now
}

// lastHeld returns the end of the member's log when it was last seen.
func (m *Member) lastHeld() (logpos.Position, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held, m.heldAt
}

// candidate describes the member for the choice of a read's target.
func (m *Member) candidate(primary string, now time.Duration) balance.Candidate {
	m.mu.Lock()
	defer m.mu.Unlock()
	return balance.Candidate{
		ID: m.id, Primary: m.id == primary, RoundTrip: m.set.places.RoundTrip(m.entry.Zone),
		ResponseTime: m.answer, InUse: m.pool.InUse() + m.elsewhere, Waiting: m.pool.Waiting(),
		HasIdleConn: m.pool.Idle() > 0 || len(m.share.GateAddresses) > 0,
		Slots:       m.entry.Slots, Suspect: m.health.Suspect(now), Unregistered: m.entry.Missing,
	}
}

// remove ends the use of a member that is gone. Statements that run go on.
func (m *Member) remove() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removed = true
	m.closeIdle()
	m.sendAway(&RefusedError{Reason: "the member has left"})
}

// sendAway ends the wait of all that wait for a connection. It is called with mu
// held.
func (m *Member) sendAway(err error) {
	for id, ch := range m.waiters {
		if m.pool.CancelWait(id) {
			delete(m.waiters, id)
			ch <- grant{err: err}
		}
	}
}

// superseded sends away what waits for the member as a primary that it is not any
// more. Fault pattern: a primary goes dark, and statements wait for connections to
// it that do not come; the next primary would serve them.
func (m *Member) superseded() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sendAway(&RefusedError{Reason: "another member leads now"})
}

// sameLife reports whether an entry is of the life that this member stands for.
func (m *Member) sameLife(e directory.Member) bool { return m.snapshot().SameIncarnation(e.Entry) }

// mayClaim reports whether an entry in which the member calls itself primary is
// to be believed. A member that has just started again may have lost its log;
// it has to prove its lead.
func (m *Member) mayClaim(e directory.Member) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return e.RoleRevision > m.restarted
}

// Life names the member's present life, for what hosts tell each other of it.
func (m *Member) Life() string {
	e := m.snapshot()
	if e.StartedAt == 0 {
		return m.id
	}
	return m.id + "@" + strconv.FormatUint(uint64(e.StartedAt), 10)
}

// end ends the use of a life that is over, with what still runs on it.
func (m *Member) end() {
	m.remove()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.conns {
		// Its user takes the broken connection out of the pool.
		_ = c.net.Close()
	}
}

// absentFor is how long a member is not asked after another one answered at its
// address: its entry lapses within a few heartbeats, or it has started again
// there. Each attempt would cost the other one a login, 12 to 27 ms of a slot.
const absentFor = time.Second

// missed notes that another member answered at this one's address.
func (m *Member) missed(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.absentUntil = now + absentFor
}

// absent reports whether another member has just answered at this one's address.
func (m *Member) absent(now time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now < m.absentUntil
}

// update takes a newer entry and limits.
func (m *Member) update(e directory.Member, share gates.Share) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entry = e
	m.pool.SetLimits(share.Limits)
	m.share = share
}

// gateAddresses returns the hosts to send this host's statements to, the best
// first; none when this host keeps connections of its own.
func (m *Member) gateAddresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.share.GateAddresses
}

// keepsConnections reports whether this host is one of those that keep the
// member's connections.
func (m *Member) keepsConnections() bool { return len(m.gateAddresses()) == 0 }

// remoteStarted and remoteEnded count the statements that run elsewhere.
func (m *Member) remoteStarted() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.elsewhere++
}

func (m *Member) remoteEnded(began, now time.Duration, ran bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.elsewhere--
	if ran {
		m.answer += time.Duration(answerSmoothing * float64(now-began-m.answer))
	}
}

func (m *Member) snapshot() directory.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entry
}

// Leaving reports whether the member has announced its end.
func (m *Member) Leaving() bool { return m.snapshot().Leaving }

// hasIdle reports whether a connection is free.
func (m *Member) hasIdle() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pool.Idle() > 0 || len(m.share.GateAddresses) > 0
}
