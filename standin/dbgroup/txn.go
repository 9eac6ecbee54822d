package dbgroup

import (
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// txn is a transaction in progress on one member.
type txn struct {
	ops      []op
	readOnly bool
	failed   bool
	held     []indexKey
}

// insert checks the unique column and queues the row. A row with the same
// unique value in another open transaction makes it wait for that one's end.
func (m *Member) insert(t *txn, table string, r row) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	column, unique := uniqueColumn[table]
	if !unique {
		t.ops = append(t.ops, op{kind: opInsert, table: table, row: r})
		return nil
	}
	k := indexKey{table, column, r[column]}
	for m.pending[k] != nil && m.pending[k] != t && !m.faults.crashed.Load() {
		m.grown.Wait()
	}
	if len(m.db.index[k]) > 0 || m.pending[k] == t {
		return &sqlError{code: codeUniqueViolation, message: "duplicate key value violates unique constraint on " + table}
	}
	m.pending[k] = t
	t.held = append(t.held, k)
	t.ops = append(t.ops, op{kind: opInsert, table: table, row: r})
	return nil
}

// release needs mu held; it ends the transaction's claims on unique values.
func (m *Member) release(t *txn) {
	for _, k := range t.held {
		delete(m.pending, k)
	}
	t.held = nil
	m.grown.Broadcast()
}

// commit makes the transaction durable on this member. A member that is no
// longer primary refuses it, and nothing of it remains.
func (m *Member) commit(t *txn) (logpos.Position, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.release(t)
	if len(t.ops) == 0 {
		return m.appliedPosition(), nil
	}
	if !m.primary || m.faults.crashed.Load() {
		return logpos.Position{}, errReadOnly()
	}
	return m.commitEntry(t.ops), nil
}

func (m *Member) rollback(t *txn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.release(t)
}

// query returns matching rows and the position that they were read at. The
// transaction's own inserts are visible to it.
func (m *Member) query(t *txn, table string, where *match) ([]row, logpos.Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := append([]row(nil), m.db.find(table, where)...)
	for _, o := range t.ops {
		if o.kind == opInsert && o.table == table && (where == nil || where.holds(o.row)) {
			rows = append(rows, o.row)
		}
	}
	return rows, m.appliedPosition()
}

func (m *Member) isPrimary() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.primary
}

func errReadOnly() error {
	return &sqlError{code: codeReadOnly, message: "cannot execute a write in a read-only transaction"}
}
