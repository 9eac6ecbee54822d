package dbgroup

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

const (
	// feedInterval is how often a follower asks its primary for entries. It
	// stands for the granularity of a stream.
	feedInterval = time.Millisecond
	// contactInterval is the interval of replication heartbeats.
	contactInterval = 25 * time.Millisecond
)

// follow makes the member replicate from a primary in a term.
func (m *Member) follow(term logpos.Term, primary *Member) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term < m.claimed || primary == nil || primary == m {
		return false
	}
	if m.follows == term || (m.primary && m.claimed == term) {
		return m.follows == term
	}
	if term > m.claimed {
		m.claimant = ""
	}
	m.stopFollowing()
	m.claimed, m.primary, m.follows = term, false, term
	m.bump()
	m.stopFeed = make(chan struct{})
	go m.feed(term, primary, m.stopFeed)
	return true
}

// stopFollowing needs mu held.
func (m *Member) stopFollowing() {
	if m.stopFeed != nil {
		close(m.stopFeed)
		m.stopFeed = nil
	}
}

// feed copies entries from the primary until the member stops following.
func (m *Member) feed(term logpos.Term, primary *Member, stop chan struct{}) {
	tick := time.NewTicker(feedInterval)
	defer tick.Stop()
	synced := false
	lastContact := time.Time{}
	var acks ackQueue
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		delay, linked := m.group.link(primary, m)
		if !linked || m.faults.down() || primary.faults.down() {
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
		if p, due := acks.pop(time.Now()); due {
			primary.acknowledged(term, m.cfg.Name, p)
		}
		if time.Since(lastContact) >= contactInterval && primary.reigns(term) {
			lastContact = time.Now()
			m.contact(term)
		}
	}
}

// acknowledged takes a replica's acknowledgement.
func (m *Member) acknowledged(term logpos.Term, replica string, p logpos.Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.primary && m.claimed == term {
		m.acks[replica] = p
		m.bump()
	}
}

// reigns reports whether the member is the primary of a term.
func (m *Member) reigns(term logpos.Term) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.primary && m.claimed == term
}

func (m *Member) contact(term logpos.Term) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.follows == term {
		m.heardAt = time.Now()
	}
}

// resync drops the entries that the primary does not have.
func (m *Member) resync(term logpos.Term, primary *Member) bool {
	if !primary.reigns(term) {
		return false
	}
	theirs := primary.snapshot()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.follows != term {
		return false
	}
	common := m.log.commonPrefix(theirs)
	if common < len(m.log.entries) {
		m.log.truncate(common)
		m.rebuild(min(m.applied, common))
	}
	return true
}

// snapshot returns the entries of the log; they are never changed in place.
func (m *Member) snapshot() []entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.log.entries
}

// receive appends the entries whose travel time has passed.
func (m *Member) receive(term logpos.Term, primary *Member, delay time.Duration) {
	if !primary.reigns(term) {
		return
	}
	theirs, history := primary.logView()
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.follows != term || m.stalled {
		return
	}
	for i := len(m.log.entries); i < len(theirs); i++ {
		if theirs[i].at.Add(delay).After(now) {
			break
		}
		m.log.entries = append(m.log.entries, theirs[i])
	}
	m.log.history = historyUpTo(history, m.log.last().Term)
}

func (m *Member) logView() ([]entry, logpos.History) {
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

// applyDue applies the received entries that are older than the set lag.
func (m *Member) applyDue(term logpos.Term) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.follows != term {
		return
	}
	n := m.applied
	for n < len(m.log.entries) && !m.log.entries[n].at.Add(m.lag).After(now) {
		n++
	}
	m.applyTo(n)
}

// SetLag delays the application of received entries by d.
func (m *Member) SetLag(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lag = d
}

// Stall stops or resumes the receipt of entries.
func (m *Member) Stall(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stalled = on
}
