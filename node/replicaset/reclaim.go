package replicaset

import (
	"github.com/dotterelswitch/dotterelswitch/core/connpool"
	"github.com/dotterelswitch/dotterelswitch/core/mechanism"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// reclaim rolls a transaction back that has rested for too long on a connection
// of a member, because a statement waits for one. Its caller is told when it
// goes on; nothing of it is kept.
func (s *Set) reclaim(m *Member) {
	if !s.without.Enabled(mechanism.Reclaim) {
		return
	}
	if !m.exhausted() {
		return
	}
	now := clock.Now()
	byID := map[uint64]*localTx{}
	var resting []connpool.IdleTransaction
	for _, tx := range s.txs.all() {
		// A transaction whose lock is taken has a statement under way.
		if tx.conn.member != m || !tx.mu.TryLock() {
			continue
		}
		if !tx.ended {
			byID[tx.id] = tx
			resting = append(resting, connpool.IdleTransaction{ID: tx.id, IdleSince: tx.used})
		}
		tx.mu.Unlock()
	}
	if chosen, found := connpool.ReclaimCandidate(resting, now); found {
		s.endResting(byID[chosen.ID], chosen)
	}
}

// endResting ends a transaction unless it has gone on meanwhile.
func (s *Set) endResting(tx *localTx, seen connpool.IdleTransaction) {
	if !tx.mu.TryLock() {
		return
	}
	defer tx.mu.Unlock()
	if tx.ended || tx.used != seen.IdleSince {
		return
	}
	eventlog.TransactionReclaimed.Info(s.log).Str("upstream", tx.conn.member.id).Str("owner", tx.owner).
		Dur("rested_ms", clock.Now()-seen.IdleSince).Send()
	s.endTx(tx)
}

// exhausted reports whether all connections that this host may have to the
// member are in use.
func (m *Member) exhausted() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pool.Exhausted()
}
