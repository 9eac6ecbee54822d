package dbgroup

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

const (
	// pollInterval is how often a replica polls its primary's log; it
	// approximates a replication stream.
	pollInterval      = time.Millisecond
	heartbeatInterval = 25 * time.Millisecond
)

// follow makes the member replicate from the primary of a term.
func (m *Member) follow(term logpos.Term, primary *Member) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term < m.grantedTerm || primary == nil || primary == m {
		return false
	}
	if m.followedTerm == term || (m.primary && m.grantedTerm == term) {
		return m.followedTerm == term
	}
	if term > m.grantedTerm {
		m.grantedTo = ""
	}
	m.stopFollowing()
	m.grantedTerm, m.primary, m.followedTerm = term, false, term
	m.notifyChange()
	m.stopReplication = make(chan struct{})
	go m.replicate(term, primary, m.stopReplication)
	return true
}

// stopFollowing needs mu held.
func (m *Member) stopFollowing() {
	if m.stopReplication != nil {
		close(m.stopReplication)
		m.stopReplication = nil
	}
}

// replicate copies log entries from the primary until stop is closed.
func (m *Member) replicate(term logpos.Term, primary *Member, stop chan struct{}) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	synced := false
	lastContact := time.Time{}
	var acks ackQueue
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		delay, reachable := m.group.linkState(primary, m)
		if !reachable || m.faults.unavailable() || primary.faults.unavailable() {
			synced = false
			acks.clear()
			m.applyDue(term)
			continue
		}
		if !synced {
			synced = m.resync(term, primary)
			continue
		}
		m.receive(term, primary, delay)
		m.applyDue(term)
		acks.push(m.Status().Last, time.Now().Add(delay))
		if p, arrived := acks.pop(time.Now()); arrived {
			primary.recordAck(term, m.cfg.Name, p)
		}
		if time.Since(lastContact) >= heartbeatInterval && primary.isPrimaryIn(term) {
			lastContact = time.Now()
			m.recordHeartbeat(term)
		}
	}
}

func (m *Member) recordAck(term logpos.Term, replica string, p logpos.Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.primary && m.grantedTerm == term {
		m.acks[replica] = p
		m.notifyChange()
	}
}

// isPrimaryIn reports whether the member is the primary of a term.
func (m *Member) isPrimaryIn(term logpos.Term) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.primary && m.grantedTerm == term
}

func (m *Member) recordHeartbeat(term logpos.Term) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.followedTerm == term {
		m.lastPrimaryContact = time.Now()
	}
}

// resync truncates the log to the prefix shared with the primary.
func (m *Member) resync(term logpos.Term, primary *Member) bool {
	if !primary.isPrimaryIn(term) {
		return false
	}
	primaryEntries := primary.logEntries()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.followedTerm != term {
		return false
	}
	shared := m.log.commonPrefixLen(primaryEntries)
	if shared < len(m.log.entries) {
		m.log.truncate(shared)
		m.rebuild(min(m.applied, shared))
	}
	return true
}

// logEntries returns the entries of the log, which are never modified in place.
func (m *Member) logEntries() []entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.log.entries
}

// receive appends the primary's entries that are older than the link delay.
func (m *Member) receive(term logpos.Term, primary *Member, delay time.Duration) {
	if !primary.isPrimaryIn(term) {
		return
	}
	primaryEntries, primaryHistory := primary.logAndHistory()
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.followedTerm != term || m.replicationStalled {
		return
	}
	for i := len(m.log.entries); i < len(primaryEntries); i++ {
		if primaryEntries[i].committedAt.Add(delay).After(now) {
			break
		}
		m.log.entries = append(m.log.entries, primaryEntries[i])
	}
	m.log.history = historyUpTo(primaryHistory, m.log.last().Term)
}

func (m *Member) logAndHistory() ([]entry, logpos.History) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.log.entries, m.log.history
}

func historyUpTo(h logpos.History, term logpos.Term) logpos.History {
	for i, f := range h {
		if f.Term > term {
			return h[:i:i]
		}
	}
	return h
}

// applyDue applies the received entries that are older than the apply delay.
func (m *Member) applyDue(term logpos.Term) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.followedTerm != term {
		return
	}
	n := m.applied
	for n < len(m.log.entries) && !m.log.entries[n].committedAt.Add(m.applyDelay).After(now) {
		n++
	}
	m.applyTo(n)
}

// SetApplyDelay delays the application of received entries by d.
func (m *Member) SetApplyDelay(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyDelay = d
}

// SetReplicationStalled stops or resumes the receipt of log entries.
func (m *Member) SetReplicationStalled(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.replicationStalled = on
}
