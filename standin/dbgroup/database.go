package dbgroup

import (
	"maps"
	"slices"
)

// LedgerTable is the table in which hosts record idempotency keys.
const LedgerTable = "dotterelswitch_ledger"

// uniqueColumn maps a table to its unique column, if it has one.
var uniqueColumn = map[string]string{LedgerTable: "key"}

// row maps column names to values.
type row map[string]string

type opKind uint8

const (
	opInsert opKind = iota
	opUpdate
	opDelete
)

// op is one row change in a log entry.
type op struct {
	kind   opKind
	table  string
	row    row
	column string
	value  string
	where  predicate
}

// predicate compares one column with a value.
type predicate struct {
	column   string
	lessThan bool
	value    string
}

func (p predicate) matches(r row) bool {
	if p.lessThan {
		return r[p.column] < p.value
	}
	return r[p.column] == p.value
}

// database is the applied state of a member. Rows are indexed by the value of
// every column.
type database struct {
	tables map[string][]row
	index  map[indexKey][]row
}

// indexKey identifies the rows with a given value in a column.
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
			if o.where.matches(r) {
				d.setColumn(o.table, i, o.column, o.value)
			}
		}
	case opDelete:
		for _, r := range d.tables[o.table] {
			if o.where.matches(r) {
				d.unindex(o.table, r)
			}
		}
		d.tables[o.table] = slices.DeleteFunc(d.tables[o.table], o.where.matches)
	}
}

func (d *database) setColumn(table string, i int, column, v string) {
	old := d.tables[table][i]
	d.unindex(table, old)
	updated := maps.Clone(old)
	updated[column] = v
	d.tables[table][i] = updated
	for c, v := range updated {
		k := indexKey{table, c, v}
		d.index[k] = append(d.index[k], updated)
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

// find returns the rows that satisfy where, or all rows if it is nil.
func (d *database) find(table string, where *predicate) []row {
	if where == nil {
		return d.tables[table]
	}
	if !where.lessThan {
		return d.index[indexKey{table, where.column, where.value}]
	}
	var rows []row
	for _, r := range d.tables[table] {
		if where.matches(r) {
			rows = append(rows, r)
		}
	}
	return rows
}
