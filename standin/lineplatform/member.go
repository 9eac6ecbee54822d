package lineplatform

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelswitch/dotterelswitch/standin/loopback"
)

// Member is one member of a group. The group's mutex guards its mutable fields,
// except for the atomic ones and restartMu.
type Member struct {
	group   *Group
	ID      string
	zone    string
	address string
	// advertisedAddress is the address in the member's store entry.
	advertisedAddress string
	slots             chan struct{}

	primary  bool
	draining bool
	down     bool
	term     uint64
	// startedAtMS is the time of the last start as Unix milliseconds.
	startedAtMS int64
	// sequence counts the entries written since the last start.
	sequence uint64
	// pausedTerm is the term for which PAUSE stopped replication, or zero.
	pausedTerm         uint64
	replicationBlocked bool
	log                []logEntry
	conns              map[*conn]bool
	listener           net.Listener

	// restartMu serializes restarts.
	restartMu sync.Mutex
	// unresponsive is set while the member answers nothing.
	unresponsive atomic.Bool
	// answersToDrop is how many of the next statements get no answer.
	answersToDrop atomic.Int64
	// statementsToRefuse is how many of the next reads and writes get BUSY.
	statementsToRefuse atomic.Int64
	// failing is set while reads, writes and commits get FAILED.
	failing        atomic.Bool
	acceptedLogins atomic.Int64
	refusedLogins  atomic.Int64
	// abandonedConns counts accepted connections that closed without TERMINATE.
	abandonedConns atomic.Int64
}

// start opens the listener, after a crash at the previous address. Loopback
// listeners use ports that the system gives to no outgoing connection, so that the
// address is still free.
func (m *Member) start() error {
	l, err := m.listen()
	if err != nil {
		return err
	}
	address, advertisedAddress := l.Addr().String(), m.advertisedAddress
	if advertisedAddress == "" {
		advertisedAddress, err = m.group.advertisedAddress(address)
		if err != nil {
			_ = l.Close()
			return err
		}
	}
	m.group.mu.Lock()
	m.listener, m.address, m.advertisedAddress, m.down = l, address, advertisedAddress, false
	m.startedAtMS, m.sequence = max(time.Now().UnixMilli(), m.startedAtMS+1), 0
	m.conns = map[*conn]bool{}
	m.group.mu.Unlock()
	go m.accept(l)
	return nil
}

func (m *Member) listen() (net.Listener, error) {
	if m.address == "" {
		return loopback.Listen()
	}
	return net.Listen("tcp", m.address)
}

func (m *Member) accept(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		go m.serve(nc)
	}
}

// Address returns the address on which the member listens.
func (m *Member) Address() string {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.address
}

// AdvertisedAddress returns the address in the member's store entry.
func (m *Member) AdvertisedAddress() string {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.advertisedAddress
}

// Crash closes the member's listener and connections. Its log remains.
func (m *Member) Crash() {
	m.group.mu.Lock()
	m.down, m.primary = true, false
	l := m.listener
	var open []*conn
	for c := range m.conns {
		open = append(open, c)
	}
	m.group.mu.Unlock()
	_ = l.Close()
	for _, c := range open {
		_ = c.netConn.Close()
	}
}

// Restart starts a crashed member with its log, as a replica. It does nothing for a
// running member: after two overlapping crashes, the first call has restarted it.
func (m *Member) Restart() error {
	m.restartMu.Lock()
	defer m.restartMu.Unlock()
	if !m.isDown() {
		return nil
	}
	if err := m.start(); err != nil {
		return err
	}
	m.register()
	return nil
}

// RestartEmpty starts a crashed member under its ID with an empty log. asPrimary
// makes it act as primary. If it was the replication source, replicas get no commits
// until the next promotion.
func (m *Member) RestartEmpty(asPrimary bool) error {
	m.restartMu.Lock()
	defer m.restartMu.Unlock()
	if !m.isDown() {
		return nil
	}
	m.group.mu.Lock()
	m.log, m.pausedTerm, m.primary = nil, 0, asPrimary
	if m.group.replicationSource == m {
		// Replicas must not truncate their logs to match the empty one.
		m.group.replicationSource = nil
	}
	m.group.mu.Unlock()
	if err := m.start(); err != nil {
		return err
	}
	m.register()
	return nil
}

func (m *Member) isDown() bool {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.down
}

// Draining reports whether Drain was called.
func (m *Member) Draining() bool {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.draining
}

// Removed reports whether the member was removed from its group.
func (m *Member) Removed() bool { return !slices.Contains(m.group.Members(), m) }

// SetUnresponsive makes the member accept connections without answering, or answer
// again.
func (m *Member) SetUnresponsive(on bool) { m.unresponsive.Store(on) }

// DropAnswers makes the member execute the next n statements without answering.
func (m *Member) DropAnswers(n int) { m.answersToDrop.Store(int64(n)) }

// RefuseStatements makes the member answer BUSY to the next n reads and writes.
func (m *Member) RefuseStatements(n int) { m.statementsToRefuse.Store(int64(n)) }

// SetFailing makes the member answer FAILED to reads, writes and commits, or run them
// again. Its status and its control operations are not affected.
func (m *Member) SetFailing(on bool) { m.failing.Store(on) }

// SetReplicationBlocked stops the member from replicating, or lets it replicate
// again.
func (m *Member) SetReplicationBlocked(on bool) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.replicate()
	m.replicationBlocked = on
}

// Pause stops the member from receiving for a term, as an order of a host does.
func (m *Member) Pause(term uint64) { m.control("PAUSE", term) }

// Paused reports whether the member is paused.
func (m *Member) Paused() bool {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.pausedTerm != 0
}

// Demote makes the primary a replica without updating its entry, as a promotion that
// hosts have not yet observed does.
func (m *Member) Demote() {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.primary = false
}

// Logins returns how many logins were accepted, and how many were refused because
// MaxConnections was reached.
func (m *Member) Logins() (accepted, refused int64) {
	return m.acceptedLogins.Load(), m.refusedLogins.Load()
}

// AbandonedConns returns how many accepted connections were closed without
// TERMINATE, as a host does when an answer timed out.
func (m *Member) AbandonedConns() int64 { return m.abandonedConns.Load() }

// Position returns the end of the member's log.
func (m *Member) Position() string {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.replicate()
	return m.lastPosition()
}

// lastPosition returns the position of the last log entry. Its term is older than
// the member's on a new primary without a commit.
func (m *Member) lastPosition() string {
	if len(m.log) == 0 {
		return Position{Term: m.term}.String()
	}
	last := m.log[len(m.log)-1]
	return Position{Term: last.term, Offset: last.offset}.String()
}

// replicate copies the source's log entries that are older than the replication
// lag. The caller holds the group's mutex.
func (m *Member) replicate() {
	source := m.group.replicationSource
	if source == nil || source == m || source.down || m.replicationBlocked || m.pausedTerm != 0 || m.down || m.group.rollbackHeld {
		return
	}
	m.dropDivergent(source)
	cutoff := time.Now().Add(-m.group.opts.ReplicationLag)
	for n := len(m.log); n < len(source.log) && source.log[n].committedAt.Before(cutoff); n++ {
		m.log = append(m.log, source.log[n])
	}
	m.term = source.term
}

// dropDivergent truncates the log to the prefix that it shares with the source's, if
// it diverges or is longer.
func (m *Member) dropDivergent(source *Member) {
	common := 0
	for common < len(m.log) && common < len(source.log) && m.log[common].term == source.log[common].term {
		common++
	}
	if common < len(m.log) && common < len(source.log) || len(m.log) > len(source.log) {
		m.log = slices.Clone(m.log[:common])
	}
}

// hasPosition reports whether the log contains a position. Offset zero only requires
// the term.
func (m *Member) hasPosition(term, offset uint64) bool {
	if offset == 0 {
		return m.term >= term
	}
	if uint64(len(m.log)) < offset {
		return false
	}
	return m.log[offset-1].term == term || (m.log[offset-1].term < term && m.term >= term)
}

// lookup returns the latest value of an item, or "none".
func (m *Member) lookup(item string) string {
	for i := len(m.log) - 1; i >= 0; i-- {
		for _, w := range m.log[i].writes {
			if w.item == item {
				return w.value
			}
		}
	}
	return "none"
}
