package replicaset

import (
	"github.com/dotterelswitch/dotterelswitch/core/connpool"
	"github.com/dotterelswitch/dotterelswitch/core/feature"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// reclaim rolls back a transaction that has been idle for too long on a
// member's connection while a request waits for one. The transaction's caller gets
// an error at its next statement.
func (s *Set) reclaim(m *Member) {
	if !s.features.Enabled(feature.Reclaim) {
		return
	}
	if !m.exhausted() {
		return
	}
	now := clock.Now()
	byID := map[uint64]*localTx{}
	var idle []connpool.IdleTransaction
	for _, tx := range s.txs.all() {
		// A locked transaction has a statement in progress.
		if tx.conn.member != m || !tx.mu.TryLock() {
			continue
		}
		if !tx.ended {
			byID[tx.id] = tx
			idle = append(idle, connpool.IdleTransaction{ID: tx.id, IdleSince: tx.lastUsed})
		}
		tx.mu.Unlock()
	}
	if chosen, found := connpool.ReclaimCandidate(idle, now); found {
		s.rollbackIdle(byID[chosen.ID], chosen)
	}
}

// rollbackIdle rolls back a transaction unless it has been used since it was
// chosen.
func (s *Set) rollbackIdle(tx *localTx, candidate connpool.IdleTransaction) {
	if !tx.mu.TryLock() {
		return
	}
	defer tx.mu.Unlock()
	if tx.ended || tx.lastUsed != candidate.IdleSince {
		return
	}
	eventlog.TransactionReclaimed.Info(s.log).Str("upstream", tx.conn.member.id).Str("owner", tx.owner).
		Dur("rested_ms", clock.Now()-candidate.IdleSince).Send()
	s.endTx(tx)
}

// exhausted reports whether all connections that this host may open to the
// member are in use.
func (m *Member) exhausted() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pool.Exhausted()
}
