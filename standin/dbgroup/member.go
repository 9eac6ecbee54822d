// Package dbgroup simulates a replicated database group in process. Its members
// speak the PostgreSQL protocol, replicate asynchronously, expose terms and log
// positions, and execute the subset of SQL that the tests use.
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
	// Slots is the number of statements executed concurrently; others queue.
	Slots int
	// Connections is the maximum number of open connections.
	Connections int
	// ConnectCost is the time that accepting a connection takes.
	ConnectCost time.Duration
	// ReadTime and WriteTime are the execution times of queries and changes.
	ReadTime, WriteTime time.Duration
}

type Member struct {
	cfg   MemberConfig
	group *Group

	// mu guards the fields up to stopReplication. To avoid deadlocks, no
	// goroutine holds the locks of two members.
	mu                   sync.Mutex
	pendingUniqueChanged *sync.Cond
	log                  entryLog
	// applied is the number of log entries applied to db.
	applied     int
	db          *database
	grantedTerm logpos.Term
	grantedTo   string
	primary     bool
	// followedTerm is the term whose primary the member replicates from, or 0.
	followedTerm       logpos.Term
	lastPrimaryContact time.Time
	// pendingUnique maps uncommitted unique values to their transactions.
	pendingUnique map[indexKey]*txn
	// acks holds, on a primary, the position acknowledged by each replica.
	acks map[string]logpos.Position
	// changeNumber counts status changes; changed is closed at the next one.
	changeNumber       uint64
	changed            chan struct{}
	applyDelay         time.Duration
	replicationStalled bool
	stopReplication    chan struct{}

	faults            faults
	server            *server
	slots             chan struct{}
	runningStatements atomic.Int64
	slotBreaches      atomic.Int64
	// replicaReads and primaryReads count queries on tables other than the
	// ledger, by the role of the member.
	replicaReads, primaryReads atomic.Int64
}

func newMember(cfg MemberConfig, g *Group) *Member {
	m := &Member{
		cfg: cfg, group: g, db: newDatabase(),
		pendingUnique: make(map[indexKey]*txn),
		slots:         make(chan struct{}, cfg.Slots),
		changed:       make(chan struct{}),
	}
	m.pendingUniqueChanged = sync.NewCond(&m.mu)
	m.faults.init()
	return m
}

// Name returns the member's name.
func (m *Member) Name() string { return m.cfg.Name }

// Zone returns the member's availability zone.
func (m *Member) Zone() string { return m.cfg.Zone }

// SlotBreaches returns the number of statements that arrived while all slots
// were in use.
func (m *Member) SlotBreaches() int64 { return m.slotBreaches.Load() }

// Status returns the status that group_status reports.
func (m *Member) Status() group.Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.status()
}

// status needs mu held.
func (m *Member) status() group.Status {
	st := group.Status{
		Member: m.cfg.Name, GrantedTerm: m.grantedTerm, Primary: m.primary, Follows: m.followedTerm,
		Change: m.changeNumber, Last: m.log.last(), Applied: m.appliedPosition(), History: m.log.history.Clone(),
	}
	if !m.primary {
		st.SincePrimaryContact = time.Since(m.lastPrimaryContact)
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

// grantTerm grants each term to at most one candidate. A repeated request by the
// same candidate succeeds.
func (m *Member) grantTerm(term logpos.Term, candidate string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term == m.grantedTerm && candidate == m.grantedTo {
		return true
	}
	if term <= m.grantedTerm {
		return false
	}
	m.stepDown(term, candidate)
	return true
}

// stepDown moves the member to a newer term, in which it follows no primary. It
// needs mu held.
func (m *Member) stepDown(term logpos.Term, candidate string) {
	m.grantedTerm, m.grantedTo = term, candidate
	m.primary, m.followedTerm = false, 0
	m.stopFollowing()
	m.notifyChange()
	m.pendingUniqueChanged.Broadcast()
}

// notifyChange wakes the callers of awaitChange. It needs mu held.
func (m *Member) notifyChange() {
	m.changeNumber++
	close(m.changed)
	m.changed = make(chan struct{})
}

// awaitChange waits until the change number differs from knownChange.
func (m *Member) awaitChange(ctx context.Context, knownChange uint64, timeout time.Duration) {
	m.mu.Lock()
	current, changed := m.changeNumber, m.changed
	m.mu.Unlock()
	if current != knownChange {
		return
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// promote makes the member the primary of the term that it granted to candidate.
func (m *Member) promote(term logpos.Term, candidate string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term != m.grantedTerm || candidate != m.grantedTo || m.followedTerm != 0 {
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

// commitEntry appends a transaction to the log and applies it. It needs mu held
// on the primary.
func (m *Member) commitEntry(ops []op) logpos.Position {
	e := m.log.append(m.grantedTerm, ops, time.Now())
	m.applyTo(len(m.log.entries))
	m.pendingUniqueChanged.Broadcast()
	return e.position
}

func (m *Member) applyTo(n int) {
	for ; m.applied < n; m.applied++ {
		for _, o := range m.log.entries[m.applied].ops {
			m.db.apply(o)
		}
	}
}

// rebuild recreates the database from the first n log entries.
func (m *Member) rebuild(n int) {
	m.db = newDatabase()
	m.applied = 0
	m.applyTo(n)
}
