package dbgroup

import (
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// script is the text of a simple query, which may hold several statements.
type script struct {
	Statements []*statement `parser:"( ';' | @@ )*"`
}

// statement is the supported subset of SQL.
type statement struct {
	Begin  *beginStmt  `parser:"  @@"`
	End    string      `parser:"| @( 'COMMIT' | 'END' | 'ROLLBACK' | 'ABORT' )"`
	Set    *setStmt    `parser:"| @@"`
	Insert *insertStmt `parser:"| @@"`
	Update *updateStmt `parser:"| @@"`
	Delete *deleteStmt `parser:"| @@"`
	Call   *callStmt   `parser:"| @@"`
	Select *selectStmt `parser:"| @@"`
}

type beginStmt struct {
	Begin string   `parser:"@( 'BEGIN' | 'START' )"`
	Modes []string `parser:"@Ident*"`
}

type setStmt struct {
	Local bool   `parser:"'SET' @'LOCAL'?"`
	Name  string `parser:"@Ident"`
	Value value  `parser:"( '=' | 'TO' ) @@"`
}

type insertStmt struct {
	Table   string   `parser:"'INSERT' 'INTO' @Ident"`
	Columns []string `parser:"'(' @Ident ( ',' @Ident )* ')'"`
	Values  []value  `parser:"'VALUES' '(' @@ ( ',' @@ )* ')'"`
}

type updateStmt struct {
	Table  string    `parser:"'UPDATE' @Ident"`
	Column string    `parser:"'SET' @Ident"`
	Value  value     `parser:"'=' @@"`
	Where  condition `parser:"'WHERE' @@"`
}

type deleteStmt struct {
	Table string    `parser:"'DELETE' 'FROM' @Ident"`
	Where condition `parser:"'WHERE' @@"`
}

type callStmt struct {
	Function  string  `parser:"'SELECT' @Ident '('"`
	Arguments []value `parser:"( @@ ( ',' @@ )* )? ')'"`
}

type selectStmt struct {
	Columns []string   `parser:"'SELECT' @Ident ( ',' @Ident )*"`
	Table   string     `parser:"'FROM' @Ident"`
	Where   *condition `parser:"( 'WHERE' @@ )?"`
	Lock    []string   `parser:"( 'FOR' @Ident )?"`
}

type condition struct {
	Column string `parser:"@Ident"`
	Op     string `parser:"@( '=' | '<' )"`
	Value  value  `parser:"@@"`
}

// value is a literal or a parameter.
type value struct {
	Text  *string `parser:"  @String"`
	Num   *string `parser:"| @Number"`
	Param string  `parser:"| @Param"`
	Word  *string `parser:"| @Ident"`
}

var sqlLexer = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "comment", Pattern: `/\*([^*]|\*[^/])*\*/|--[^\n]*`},
	{Name: "whitespace", Pattern: `\s+`},
	{Name: "String", Pattern: `'([^']|'')*'`},
	{Name: "Param", Pattern: `\$\d+`},
	{Name: "Number", Pattern: `-?\d+(\.\d+)?`},
	{Name: "Ident", Pattern: `[a-zA-Z_][a-zA-Z0-9_.]*`},
	{Name: "Punct", Pattern: `[(),=<;]`},
})

var sqlParser = participle.MustBuild[script](
	participle.Lexer(sqlLexer),
	participle.CaseInsensitive("Ident"),
	participle.UseLookahead(3),
)

func parseScript(sql string) ([]*statement, error) {
	sc, err := sqlParser.ParseString("", sql)
	if err != nil {
		return nil, &sqlError{code: codeSyntax, message: err.Error()}
	}
	return sc.Statements, nil
}

// bind returns a value's text, with parameters substituted.
func (v value) bind(params []string) (string, error) {
	switch {
	case v.Text != nil:
		return strings.ReplaceAll(strings.Trim(*v.Text, "'"), "''", "'"), nil
	case v.Num != nil:
		return *v.Num, nil
	case v.Word != nil:
		return *v.Word, nil
	}
	n := 0
	for _, c := range v.Param[1:] {
		n = n*10 + int(c-'0')
	}
	if n < 1 || n > len(params) {
		return "", &sqlError{code: codeUndefinedParameter, message: "there is no parameter " + v.Param}
	}
	return params[n-1], nil
}
