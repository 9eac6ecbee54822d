package dbgroup

import (
	"slices"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// simpleQuery runs the statements of a query text until one fails.
func (b *backendConn) simpleQuery(sql string) {
	defer b.sendReadyForQuery()
	statements, err := parseScript(sql)
	if err != nil {
		b.sendError(err)
		return
	}
	if len(statements) == 0 {
		b.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for _, st := range statements {
		ctx, cancel := b.statementContext()
		res, err := b.executor.run(ctx, st, nil)
		cancel()
		if err != nil {
			b.sendError(err)
			return
		}
		b.sendRows(res, true)
	}
}

func (b *backendConn) failTxn() {
	if b.executor.txn != nil {
		b.executor.txn.failed = true
	}
}

func (b *backendConn) sendRows(res *result, describe bool) {
	if describe && res.columns != nil {
		b.backend.Send(rowDescription(res.columns))
	}
	for _, r := range res.rows {
		values := make([][]byte, len(r))
		for i, v := range r {
			values[i] = []byte(v)
		}
		b.backend.Send(&pgproto3.DataRow{Values: values})
	}
	b.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(res.tag)})
}

func rowDescription(columns []string) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for _, c := range columns {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{Name: []byte(c), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1})
	}
	return d
}

func (b *backendConn) parse(msg *pgproto3.Parse) error {
	statements, err := parseScript(msg.Query)
	if err != nil {
		return err
	}
	b.prepared[msg.Name] = &prepared{statements: statements, paramTypes: paramTypes(msg)}
	b.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

// paramTypes returns the types that a Parse specifies, and text for further parameters.
func paramTypes(msg *pgproto3.Parse) []uint32 {
	types := slices.Clone(msg.ParameterOIDs)
	for len(types) < countParams(msg.Query) {
		types = append(types, textOID)
	}
	return types
}

// countParams returns the highest single-digit parameter number in a text.
func countParams(sql string) int {
	highest := 0
	for i := 0; i+1 < len(sql); i++ {
		if sql[i] == '$' && sql[i+1] >= '1' && sql[i+1] <= '9' {
			highest = max(highest, int(sql[i+1]-'0'))
		}
	}
	return highest
}

func (b *backendConn) bind(msg *pgproto3.Bind) error {
	p, found := b.prepared[msg.PreparedStatement]
	if !found {
		return &sqlError{code: codeUndefinedStatement, message: "prepared statement " + msg.PreparedStatement + " does not exist"}
	}
	params := make([]string, len(msg.Parameters))
	for i, v := range msg.Parameters {
		params[i] = string(v)
	}
	b.portals[msg.DestinationPortal] = &portal{statement: p, params: params}
	b.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (b *backendConn) describe(msg *pgproto3.Describe) error {
	var p *prepared
	if msg.ObjectType == 'S' {
		found := false
		if p, found = b.prepared[msg.Name]; !found {
			return &sqlError{code: codeUndefinedStatement, message: "prepared statement " + msg.Name + " does not exist"}
		}
		b.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.paramTypes})
	} else {
		bound, found := b.portals[msg.Name]
		if !found {
			return &sqlError{code: codeUndefinedStatement, message: "portal " + msg.Name + " does not exist"}
		}
		p = bound.statement
	}
	if columns := p.columns(); columns != nil {
		b.backend.Send(rowDescription(columns))
	} else {
		b.backend.Send(&pgproto3.NoData{})
	}
	return nil
}

// columns returns the result columns of a prepared statement, or nil.
func (p *prepared) columns() []string {
	if len(p.statements) != 1 {
		return nil
	}
	switch st := p.statements[0]; {
	case st.Select != nil:
		return st.Select.Columns
	case st.Call != nil && strings.HasPrefix(strings.ToLower(st.Call.Function), "group_"):
		return statusColumns
	case st.Call != nil:
		return []string{"result"}
	}
	return nil
}

func (b *backendConn) executePortal(msg *pgproto3.Execute) error {
	bound, found := b.portals[msg.Portal]
	if !found {
		return &sqlError{code: codeUndefinedStatement, message: "portal " + msg.Portal + " does not exist"}
	}
	if len(bound.statement.statements) == 0 {
		b.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	ctx, cancel := b.statementContext()
	defer cancel()
	res, err := b.executor.run(ctx, bound.statement.statements[0], bound.params)
	if err != nil {
		return err
	}
	b.sendRows(res, false)
	return nil
}
