// Package dbgroup is a stand-in for a replicated database group: members that
// speak the PostgreSQL protocol, replicate asynchronously and expose terms and
// log positions. It holds a table store with just the SQL that the tests need.
package dbgroup

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/group"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// MemberConfig describes one member.
type MemberConfig struct {
	Name string
	Zone string
	// Slots is how many statements execute at once; more wait inside.
	Slots int
	// Connections is the connection limit.
	Connections int
	// ConnectCost is how long accepting a connection takes.
	ConnectCost time.Duration
	// ReadTime and WriteTime are the execution times of statements.
	ReadTime, WriteTime time.Duration
}

// Member is one member of a group.
type Member struct {
	cfg   MemberConfig
	group *Group

	// mu guards the fields below. The locks of two members are never held
	// together.
	mu       sync.Mutex
	grown    *sync.Cond
	log      entryLog
	applied  int
	db       *database
	claimed  logpos.Term
	claimant string
	primary  bool
	follows  logpos.Term
	heardAt  time.Time
	pending  map[indexKey]*txn
	acks     map[string]logpos.Position
	change   uint64
	changed  chan struct{}
	lag      time.Duration
	stalled  bool
	stopFeed chan struct{}

	faults   faults
	server   *server
	slots    chan struct{}
	running  atomic.Int64
	breaches atomic.Int64
	// replicaReads and primaryReads count the queries on callers' tables.
	replicaReads, primaryReads atomic.Int64
}

func newMember(cfg MemberConfig, g *Group) *Member {
	m := &Member{
		cfg: cfg, group: g, db: newDatabase(),
		pending: make(map[indexKey]*txn),
		slots:   make(chan struct{}, cfg.Slots),
		changed: make(chan struct{}),
	}
	m.grown = sync.NewCond(&m.mu)
	m.faults.init()
	return m
}

// Name returns the member's name.
func (m *Member) Name() string { return m.cfg.Name }

// Zone returns the member's availability zone.
func (m *Member) Zone() string { return m.cfg.Zone }

// Breaches returns how often more statements arrived than there are slots.
func (m *Member) Breaches() int64 { return m.breaches.Load() }

// Status returns what a probe would.
func (m *Member) Status() group.Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.status()
}

// status needs mu held.
func (m *Member) status() group.Status {
	st := group.Status{
		Member: m.cfg.Name, GrantedTerm: m.claimed, Primary: m.primary, Follows: m.follows,
		Change: m.change, Last: m.log.last(), Applied: m.appliedPosition(), History: m.log.history.Clone(),
	}
	if !m.primary {
		st.SincePrimaryContact = time.Since(m.heardAt)
		return st
	}
	for _, name := range slices.Sorted(maps.Keys(m.acks)) {
		st.Acks = append(st.Acks, group.Ack{Member: name, Last: m.acks[name]})
	}
	return st
}

func (m *Member) appliedPosition() logpos.Position {
	if m.applied == 0 {
		return logpos.Position{}
	}
	return m.log.entries[m.applied-1].position
}

// claim grants a term to a claimant, once. A repeated claim by the same
// claimant is granted again.
func (m *Member) claim(term logpos.Term, claimant string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term == m.claimed && claimant == m.claimant {
		return true
	}
	if term <= m.claimed {
		return false
	}
	m.stepDown(term, claimant)
	return true
}

// stepDown moves the member to a newer term; it then follows no one.
func (m *Member) stepDown(term logpos.Term, claimant string) {
	m.claimed, m.claimant = term, claimant
	m.primary, m.follows = false, 0
	m.stopFollowing()
	m.bump()
	m.grown.Broadcast()
}

// bump wakes the calls that wait for a change; it needs mu held.
func (m *Member) bump() {
	m.change++
	close(m.changed)
	m.changed = make(chan struct{})
}

// awaitChange waits until the member's change number is not the given one.
func (m *Member) awaitChange(ctx context.Context, known uint64, limit time.Duration) {
	m.mu.Lock()
	current, changed := m.change, m.changed
	m.mu.Unlock()
	if current != known {
		return
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// promote makes the member the primary of a term it has granted.
func (m *Member) promote(term logpos.Term, claimant string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term != m.claimed || claimant != m.claimant || m.follows != 0 {
		return false
	}
	if m.primary {
		return true
	}
	m.applyTo(len(m.log.entries))
	m.primary = true
	m.acks = make(map[string]logpos.Position)
	m.commitEntry(nil)
	return true
}

// commitEntry appends and applies a transaction. It needs mu held and the
// member to be the primary.
func (m *Member) commitEntry(ops []op) logpos.Position {
	e := m.log.append(m.claimed, ops, time.Now())
	m.applyTo(len(m.log.entries))
	m.grown.Broadcast()
	return e.position
}

func (m *Member) applyTo(n int) {
	for ; m.applied < n; m.applied++ {
		for _, o := range m.log.entries[m.applied].ops {
			m.db.apply(o)
		}
	}
}

// rebuild replays the log up to n after entries were dropped.
func (m *Member) rebuild(n int) {
	m.db = newDatabase()
	m.applied = 0
	m.applyTo(n)
}
