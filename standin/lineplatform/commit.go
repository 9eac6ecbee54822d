package lineplatform

import "time"

func (c *conn) commit(id string) reply {
	m := c.member
	m.occupySlot()
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	defer c.endTx()
	c.recordExecution(Execution{ID: id, Text: "COMMIT"})
	if c.txFailed || !c.inTx {
		return errorReply("ABORTED")
	}
	if m.failing.Load() {
		return errorReply("FAILED")
	}
	if len(c.pendingWrites) > 0 {
		if !m.primary {
			return errorReply("READONLY")
		}
		m.appendCommit(c.pendingWrites)
		c.unacknowledged = uint64(len(m.log))
	}
	return reply{signature: "sig-" + m.ID + "-" + id}
}

// Store commits a write on the primary, as something other than the hosts does.
func (g *Group) Store(item, value string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replicationSource.appendCommit([]write{{item: item, value: value}})
}

// appendCommit appends a commit to the primary's log. The caller holds the group's
// mutex.
func (m *Member) appendCommit(writes []write) {
	at := Position{Term: m.term, Offset: uint64(len(m.log) + 1)}
	m.log = append(m.log, logEntry{term: at.Term, offset: at.Offset, committedAt: time.Now(), writes: writes})
	for _, w := range writes {
		m.group.commitCounts[w.statementID]++
		m.group.lastCommits[w.statementID] = at
	}
}

// syncPollInterval is how often a primary checks whether replicas have received a commit.
const syncPollInterval = time.Millisecond

// awaitSyncReplicas waits until enough replicas have received the log up to an offset. It
// returns false if the member stops being the primary before.
func (m *Member) awaitSyncReplicas(offset uint64) bool {
	for {
		if synced, primary := m.isSynced(offset); synced || !primary {
			return primary
		}
		time.Sleep(syncPollInterval)
	}
}

// isSynced reports whether enough replicas have received the log up to an offset, and
// whether the member is still the primary.
func (m *Member) isSynced(offset uint64) (synced, primary bool) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if m.down || !m.primary {
		return false, false
	}
	received := 0
	for _, other := range m.group.members {
		if other == m || other.down {
			continue
		}
		other.replicate()
		if uint64(len(other.log)) >= offset {
			received++
		}
	}
	return received >= m.group.opts.SyncReplicas, true
}
