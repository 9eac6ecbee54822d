package replicaset

import (
	"fmt"
	"sync"
	"time"

	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// localTx is an open transaction on a connection of this host.
type localTx struct {
	id    uint64
	owner string
	plain bool
	conn  *Conn

	// mu orders the steps; it guards the fields below.
	mu    sync.Mutex
	used  time.Duration
	ended bool
}

// txTable holds the open transactions. It is safe for concurrent use; its lock
// is a leaf.
type txTable struct {
	mu   sync.Mutex
	next uint64
	open map[uint64]*localTx
}

func (t *txTable) add(c *Conn, j Job) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open == nil {
		t.open = map[uint64]*localTx{}
	}
	t.next++
	t.open[t.next] = &localTx{id: t.next, owner: j.Owner, plain: j.Plain, conn: c, used: clock.Now()}
	return t.next
}

func (t *txTable) get(id uint64) (*localTx, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tx, found := t.open[id]
	return tx, found
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

// EndOwned rolls back the transactions that a host opened here.
func (s *Set) EndOwned(owner string) {
	s.endWhere(fmt.Sprintf("host %s is gone", owner), func(tx *localTx) bool { return tx.owner == owner })
}

// EndUnused rolls back the transactions that no step has come for since
// before the given time: their host may be gone without a sign.
func (s *Set) EndUnused(before time.Duration) {
	s.endWhere("it was not used", func(tx *localTx) bool { return tx.used < before })
}

func (s *Set) endWhere(reason string, match func(*localTx) bool) {
	for _, tx := range s.txs.all() {
		tx.mu.Lock()
		if !tx.ended && match(tx) {
			s.log.Debug().Uint64("transaction", tx.id).Str("reason", reason).Msg("a transaction is rolled back")
			s.endTx(tx)
		}
		tx.mu.Unlock()
	}
}

// Open returns the number of transactions that are open on connections of this
// host.
func (s *Set) Open() int {
	s.txs.mu.Lock()
	defer s.txs.mu.Unlock()
	return len(s.txs.open)
}
