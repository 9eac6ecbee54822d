package owner

import (
	"sync"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/txid"
	"github.com/dotterelswitch/dotterelswitch/node/upstream"
)

// transaction is an open transaction and the connection reserved for it.
type transaction struct {
	id     uint64
	sender string
	pool   *pool
	conn   *upstream.Conn
	// lastUsed is when the last statement ended.
	lastUsed time.Time
	// busy is set while a statement runs.
	busy bool
}

// transactions holds the open transactions of all pools.
type transactions struct {
	ids  *txid.Sequence
	mu   sync.Mutex
	open map[uint64]*transaction
}

func newTransactions() transactions {
	return transactions{ids: txid.NewSequence(), open: make(map[uint64]*transaction)}
}

// add registers a transaction on a connection and returns its ID.
func (t *transactions) add(sender string, p *pool, c *upstream.Conn) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := t.ids.Next()
	t.open[id] = &transaction{id: id, sender: sender, pool: p, conn: c, lastUsed: time.Now()}
	return id
}

// reserve reserves a transaction for one statement. It fails if the sender has no
// such transaction in the pool, or if a statement of it is running.
func (t *transactions) reserve(id uint64, sender string, p *pool) (*transaction, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tx, found := t.open[id]
	if !found || tx.sender != sender || tx.pool != p || tx.busy {
		return nil, false
	}
	tx.busy = true
	return tx, true
}

// endStatement marks a transaction that is still open as idle, and removes one
// that has ended.
func (t *transactions) endStatement(tx *transaction, open bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tx.busy, tx.lastUsed = false, time.Now()
	if !open {
		delete(t.open, tx.id)
	}
}

// removeIf removes and returns the idle transactions for which match is true.
func (t *transactions) removeIf(match func(*transaction) bool) []*transaction {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*transaction
	for id, tx := range t.open {
		if !tx.busy && match(tx) {
			delete(t.open, id)
			out = append(out, tx)
		}
	}
	return out
}
