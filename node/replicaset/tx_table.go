package replicaset

import (
	"fmt"
	"sync"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/txid"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// localTx is an open transaction on a connection of this host.
type localTx struct {
	id        uint64
	owner     string
	onPrimary bool
	conn      *Conn

	// mu serializes the jobs and guards the fields below.
	mu       sync.Mutex
	lastUsed time.Duration
	ended    bool
}

// txTable holds the open transactions. It is safe for concurrent use. No other
// lock is taken while its lock is held.
type txTable struct {
	mu   sync.Mutex
	open map[uint64]*localTx
}

// txIDs issues the IDs of the transactions of all tables, so that a table that was dropped
// and created again does not take a transaction for another one.
var txIDs = txid.NewSequence()

func (t *txTable) add(c *Conn, j Job) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open == nil {
		t.open = map[uint64]*localTx{}
	}
	id := txIDs.Next()
	t.open[id] = &localTx{id: id, owner: j.Owner, onPrimary: j.RequirePrimary, conn: c, lastUsed: clock.Now()}
	return id
}

// get returns a transaction if the host that presents its ID has opened it.
func (t *txTable) get(id uint64, owner string) (*localTx, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tx, found := t.open[id]
	if !found || tx.owner != owner {
		return nil, false
	}
	return tx, true
}

func (t *txTable) remove(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, id)
}

func (t *txTable) all() []*localTx {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*localTx, 0, len(t.open))
	for _, tx := range t.open {
		out = append(out, tx)
	}
	return out
}

// RollbackOwned rolls back the transactions that a host opened here.
func (s *Set) RollbackOwned(owner string) {
	s.rollbackWhere(fmt.Sprintf("owner %s is no longer running", owner), func(tx *localTx) bool { return tx.owner == owner })
}

// RollbackUnused rolls back the transactions last used before the given time:
// the host that opened them may have failed.
func (s *Set) RollbackUnused(before time.Duration) {
	s.rollbackWhere("transaction was not used in time", func(tx *localTx) bool { return tx.lastUsed < before })
}

// RollbackAll rolls back all transactions, each once the statement that is at work in it has
// been answered. It does not wait for that.
func (s *Set) RollbackAll(reason string) {
	for _, tx := range s.txs.all() {
		go func() {
			tx.mu.Lock()
			defer tx.mu.Unlock()
			s.rollbackOpen(tx, reason)
		}()
	}
}

// rollbackOpen rolls back a transaction that has not ended. It is called with tx.mu held.
func (s *Set) rollbackOpen(tx *localTx, reason string) {
	if !tx.ended {
		s.log.Debug().Uint64("transaction", tx.id).Str("reason", reason).Msg("rolling back transaction")
		s.endTx(tx)
	}
}

func (s *Set) rollbackWhere(reason string, match func(*localTx) bool) {
	for _, tx := range s.txs.all() {
		tx.mu.Lock()
		if match(tx) {
			s.rollbackOpen(tx, reason)
		}
		tx.mu.Unlock()
	}
}

// OpenTransactions returns the number of transactions open on connections of
// this host.
func (s *Set) OpenTransactions() int {
	s.txs.mu.Lock()
	defer s.txs.mu.Unlock()
	return len(s.txs.open)
}
