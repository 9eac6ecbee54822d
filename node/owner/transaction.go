package owner

import (
	"sync"
	"time"

	"github.com/dotterelswitch/dotterelswitch/node/upstream"
)

// transaction is a connection held between the statements of a transaction.
type transaction struct {
	id     uint64
	sender string
	pool   *pool
	conn   *upstream.Conn
	// used is when the last statement ended; busy is set while one runs.
	used time.Time
	busy bool
}

// transactions holds the open transactions of all pools.
type transactions struct {
	mu   sync.Mutex
	next uint64
	open map[uint64]*transaction
}

// add keeps a connection for a transaction and returns its number.
func (t *transactions) add(sender string, p *pool, c *upstream.Conn) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next++
	t.open[t.next] = &transaction{id: t.next, sender: sender, pool: p, conn: c, used: time.Now()}
	return t.next
}

// claim takes a transaction for one statement. It fails when there is none of
// that number for the sender, or a statement of it is still running.
func (t *transactions) claim(id uint64, sender string, p *pool) (*transaction, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tx, found := t.open[id]
	if !found || tx.sender != sender || tx.pool != p || tx.busy {
		return nil, false
	}
	tx.busy = true
	return tx, true
}

// settle ends a statement. The transaction stays open or is forgotten.
func (t *transactions) settle(tx *transaction, open bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tx.busy, tx.used = false, time.Now()
	if !open {
		delete(t.open, tx.id)
	}
}

// takeIf removes and returns the idle transactions for which drop is true.
func (t *transactions) takeIf(drop func(*transaction) bool) []*transaction {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*transaction
	for id, tx := range t.open {
		if !tx.busy && drop(tx) {
			delete(t.open, id)
			out = append(out, tx)
		}
	}
	return out
}
