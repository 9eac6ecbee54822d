package dbgroup

import (
	"maps"
	"slices"
)

// LedgerTable is the table in which hosts record idempotency keys.
const LedgerTable = "dotterelswitch_ledger"

// uniqueColumn names the unique column of the tables that have one.
var uniqueColumn = map[string]string{LedgerTable: "key"}

// row is one tuple, by column.
type row map[string]string

// opKind is the kind of a change.
type opKind uint8

const (
	opInsert opKind = iota
	opUpdate
	opDelete
)

// op is one change of a log entry.
type op struct {
	kind   opKind
	table  string
	row    row
	column string
	value  string
	where  match
}

// match selects rows by one column.
type match struct {
	column string
	less   bool
	value  string
}

func (m match) holds(r row) bool {
	if m.less {
		return r[m.column] < m.value
	}
	return r[m.column] == m.value
}

// database is the applied state of a member. Rows are indexed by their first
// selected column only when a query asks for it.
type database struct {
	tables map[string][]row
	index  map[indexKey][]row
}

// indexKey finds the rows with one value in one column.
type indexKey struct{ table, column, value string }

func newDatabase() *database {
	return &database{tables: make(map[string][]row), index: make(map[indexKey][]row)}
}

func (d *database) apply(o op) {
	switch o.kind {
	case opInsert:
		d.tables[o.table] = append(d.tables[o.table], o.row)
		for column, v := range o.row {
			k := indexKey{o.table, column, v}
			d.index[k] = append(d.index[k], o.row)
		}
	case opUpdate:
		for i, r := range d.tables[o.table] {
			if o.where.holds(r) {
				d.replace(o.table, i, o.column, o.value)
			}
		}
	case opDelete:
		for _, r := range d.tables[o.table] {
			if o.where.holds(r) {
				d.unindex(o.table, r)
			}
		}
		d.tables[o.table] = slices.DeleteFunc(d.tables[o.table], o.where.holds)
	}
}

func (d *database) replace(table string, i int, column, v string) {
	old := d.tables[table][i]
	d.unindex(table, old)
	next := maps.Clone(old)
	next[column] = v
	d.tables[table][i] = next
	for c, v := range next {
		k := indexKey{table, c, v}
		d.index[k] = append(d.index[k], next)
	}
}

func (d *database) unindex(table string, r row) {
	for column, v := range r {
		k := indexKey{table, column, v}
		kept := slices.DeleteFunc(slices.Clone(d.index[k]), func(x row) bool { return sameRow(x, r) })
		if len(kept) == 0 {
			delete(d.index, k)
		} else {
			d.index[k] = kept
		}
	}
}

func sameRow(a, b row) bool { return maps.Equal(a, b) }

// find returns the rows that m selects, or all.
func (d *database) find(table string, m *match) []row {
	if m == nil {
		return d.tables[table]
	}
	if !m.less {
		return d.index[indexKey{table, m.column, m.value}]
	}
	var out []row
	for _, r := range d.tables[table] {
		if m.holds(r) {
			out = append(out, r)
		}
	}
	return out
}
