package dbgroup

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

type result struct {
	columns []string
	rows    [][]string
	tag     string
}

// executor runs statements for one connection.
type executor struct {
	member  *Member
	backend *backendConn
	txn     *txn
	// position is sent ahead of the next ReadyForQuery.
	position logpos.Position
}

// run executes one statement, in an implicit transaction if none is open.
func (x *executor) run(ctx context.Context, st *statement, params []string) (*result, error) {
	x.member.faults.waitWhilePaused()
	switch {
	case st.Begin != nil:
		return x.begin(st.Begin)
	case st.End != "":
		return x.endTransaction(strings.ToUpper(st.End))
	case st.Set != nil:
		return &result{tag: "SET"}, nil
	case st.Call != nil:
		return x.call(ctx, st.Call, params)
	}
	if x.txn != nil && x.txn.failed {
		return nil, &sqlError{code: codeFailedTransaction, message: "current transaction is aborted, commands ignored until end of transaction block"}
	}
	implicit := x.txn == nil
	t := x.txn
	if implicit {
		t = &txn{}
	}
	res, err := x.runInSlot(ctx, t, st, params)
	if err != nil {
		t.failed = true
		if implicit {
			x.member.rollback(t)
		}
		return nil, err
	}
	if implicit && len(t.ops) > 0 {
		return res, x.commit(t)
	}
	return res, nil
}

func (x *executor) begin(st *beginStmt) (*result, error) {
	if x.txn == nil {
		readOnly := strings.Contains(strings.ToUpper(strings.Join(st.Modes, " ")), "READ ONLY")
		x.txn = &txn{readOnly: readOnly}
	}
	return &result{tag: "BEGIN"}, nil
}

func (x *executor) endTransaction(keyword string) (*result, error) {
	t := x.txn
	x.txn = nil
	if t == nil {
		return &result{tag: keyword}, nil
	}
	if t.failed || keyword == "ROLLBACK" || keyword == "ABORT" {
		x.member.rollback(t)
		return &result{tag: "ROLLBACK"}, nil
	}
	return &result{tag: "COMMIT"}, x.commit(t)
}

func (x *executor) commit(t *txn) error {
	p, err := x.member.commit(t)
	if err == nil {
		x.position = p
	}
	return err
}

// runInSlot runs a statement that needs an execution slot.
func (x *executor) runInSlot(ctx context.Context, t *txn, st *statement, params []string) (*result, error) {
	release, err := x.member.acquireSlot(ctx)
	if err != nil {
		return nil, err
	}
	defer release()
	executionTime := x.member.cfg.ReadTime
	if st.Select == nil {
		executionTime = x.member.cfg.WriteTime
	}
	if err := x.member.simulateWork(ctx, executionTime); err != nil {
		return nil, err
	}
	if st.Select != nil {
		return x.selectRows(t, st.Select, params)
	}
	if t.readOnly || !x.member.isPrimary() {
		return nil, errReadOnly()
	}
	return x.queueChange(t, st, params)
}

func (x *executor) selectRows(t *txn, st *selectStmt, params []string) (*result, error) {
	if len(st.Lock) > 0 && !x.member.isPrimary() {
		return nil, errReadOnly()
	}
	where, err := st.Where.bind(params)
	if err != nil {
		return nil, err
	}
	rows, position := x.member.query(t, strings.ToLower(st.Table), where)
	x.position = position
	x.member.countRead(st.Table)
	res := &result{columns: st.Columns, tag: "SELECT " + strconv.Itoa(len(rows))}
	for _, r := range rows {
		out := make([]string, len(st.Columns))
		for i, c := range st.Columns {
			out[i] = r[c]
		}
		res.rows = append(res.rows, out)
	}
	return res, nil
}

func (c *condition) bind(params []string) (*predicate, error) {
	if c == nil {
		return nil, nil
	}
	v, err := c.Value.bind(params)
	return &predicate{column: c.Column, lessThan: c.Op == "<", value: v}, err
}

func (x *executor) queueChange(t *txn, st *statement, params []string) (*result, error) {
	switch {
	case st.Insert != nil:
		return x.insert(t, st.Insert, params)
	case st.Update != nil:
		where, err := st.Update.Where.bind(params)
		if err != nil {
			return nil, err
		}
		v, err := st.Update.Value.bind(params)
		if err != nil {
			return nil, err
		}
		t.ops = append(t.ops, op{kind: opUpdate, table: st.Update.Table, column: st.Update.Column, value: v, where: *where})
		return &result{tag: "UPDATE 1"}, nil
	default:
		where, err := st.Delete.Where.bind(params)
		if err != nil {
			return nil, err
		}
		t.ops = append(t.ops, op{kind: opDelete, table: st.Delete.Table, where: *where})
		return &result{tag: "DELETE 1"}, nil
	}
}

func (x *executor) insert(t *txn, st *insertStmt, params []string) (*result, error) {
	if len(st.Columns) != len(st.Values) {
		return nil, &sqlError{code: codeSyntax, message: "INSERT has a different number of columns and values"}
	}
	r := make(row, len(st.Columns))
	for i, c := range st.Columns {
		v, err := st.Values[i].bind(params)
		if err != nil {
			return nil, err
		}
		r[c] = v
	}
	if err := x.member.insert(t, strings.ToLower(st.Table), r); err != nil {
		return nil, err
	}
	return &result{tag: "INSERT 0 1"}, nil
}

// countRead counts a query by the member's current role.
func (m *Member) countRead(table string) {
	if strings.EqualFold(table, LedgerTable) {
		return
	}
	if m.isPrimary() {
		m.primaryReads.Add(1)
	} else {
		m.replicaReads.Add(1)
	}
}

// acquireSlot waits for an execution slot. Statements that find none free are
// counted as slot breaches: the proxy must never send more than the slots allow.
func (m *Member) acquireSlot(ctx context.Context) (func(), error) {
	select {
	case m.slots <- struct{}{}:
	default:
		m.slotBreaches.Add(1)
		select {
		case m.slots <- struct{}{}:
		case <-ctx.Done():
			return nil, &sqlError{code: codeCancelled, message: "canceling statement due to user request"}
		}
	}
	m.runningStatements.Add(1)
	return func() {
		m.runningStatements.Add(-1)
		<-m.slots
	}, nil
}

// simulateWork sleeps for d plus the injected delay, or until cancelled.
func (m *Member) simulateWork(ctx context.Context, d time.Duration) error {
	d += time.Duration(m.faults.statementDelay.Load())
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		m.faults.waitWhilePaused()
		return nil
	case <-ctx.Done():
		return &sqlError{code: codeCancelled, message: fmt.Sprintf("canceling statement on %s due to user request", m.cfg.Name)}
	}
}
