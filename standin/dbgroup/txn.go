package dbgroup

import (
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// txn is a transaction in progress on one member.
type txn struct {
	ops        []op
	readOnly   bool
	failed     bool
	uniqueKeys []indexKey
}

// insert checks the unique column and queues the row. While another open
// transaction has inserted the same unique value, it waits for that transaction
// to end.
func (m *Member) insert(t *txn, table string, r row) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	column, unique := uniqueColumn[table]
	if !unique {
		t.ops = append(t.ops, op{kind: opInsert, table: table, row: r})
		return nil
	}
	k := indexKey{table, column, r[column]}
	for m.pendingUnique[k] != nil && m.pendingUnique[k] != t && !m.faults.crashed.Load() {
		m.pendingUniqueChanged.Wait()
	}
	if len(m.db.index[k]) > 0 || m.pendingUnique[k] == t {
		return &sqlError{code: codeUniqueViolation, message: "duplicate key value violates unique constraint on " + table}
	}
	m.pendingUnique[k] = t
	t.uniqueKeys = append(t.uniqueKeys, k)
	t.ops = append(t.ops, op{kind: opInsert, table: table, row: r})
	return nil
}

// releaseUnique releases the transaction's uncommitted unique values. It needs
// mu held.
func (m *Member) releaseUnique(t *txn) {
	for _, k := range t.uniqueKeys {
		delete(m.pendingUnique, k)
	}
	t.uniqueKeys = nil
	m.pendingUniqueChanged.Broadcast()
}

// commit writes the transaction to the member's log. If the member is no longer
// the primary, the transaction is rolled back.
func (m *Member) commit(t *txn) (logpos.Position, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.releaseUnique(t)
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
	m.releaseUnique(t)
}

// query returns matching rows, including the transaction's own inserts, and the
// log position of the snapshot.
func (m *Member) query(t *txn, table string, where *predicate) ([]row, logpos.Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := append([]row(nil), m.db.find(table, where)...)
	for _, o := range t.ops {
		if o.kind == opInsert && o.table == table && (where == nil || where.matches(o.row)) {
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
