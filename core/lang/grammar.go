// Package lang compiles the configuration language: statements, each terminated
// by a semicolon, that declare, drop, drain and undrain items of the
// configuration. The grammar is in docs/LANGUAGE.md.
package lang

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// script is a whole file.
type script struct {
	Statements []*statement `parser:"@@*"`
}

// statement is one declaration or command.
type statement struct {
	Zone    *zoneDecl    `parser:"( @@"`
	Service *serviceDecl `parser:"| @@"`
	Class   *classDecl   `parser:"| @@"`
	Team    *teamDecl    `parser:"| @@"`
	Event   *eventDecl   `parser:"| @@"`
	Drop    *dropStmt    `parser:"| @@"`
	Drain   *drainStmt   `parser:"| @@ ) ';'"`
}

type zoneDecl struct {
	Name   string `parser:"'ZONE' @Name"`
	Region string `parser:"'REGION' @Name"`
}

type serviceDecl struct {
	Name      string          `parser:"'SERVICE' @Name"`
	Upstreams []*upstreamDecl `parser:"@@ ( ',' @@ )*"`
}

type upstreamDecl struct {
	Name        string `parser:"'UPSTREAM' @Name"`
	Zone        string `parser:"'ZONE' @Name"`
	Address     string `parser:"'ADDRESS' @String"`
	Slots       int    `parser:"'SLOTS' @Number"`
	Connections int    `parser:"'CONNECTIONS' @Number"`
}

type classDecl struct {
	Name      string  `parser:"'CLASS' @Name"`
	Staleness literal `parser:"'STALENESS' @@"`
}

type teamDecl struct {
	Name        string  `parser:"'TEAM' @Name"`
	Weight      float64 `parser:"( 'WEIGHT' @Number )?"`
	Connections int     `parser:"( 'CONNECTIONS' @Number )?"`
	// Credentials are SHA-256 digests of keys.
	Credentials []string `parser:"( 'CREDENTIAL' @String )*"`
}

type eventDecl struct {
	Name      string            `parser:"'EVENT' @Name"`
	Start     literal           `parser:"'START' @@"`
	Services  []string          `parser:"'SERVICES' @Name ( ',' @Name )*"`
	Staleness []*eventStaleness `parser:"( 'STALENESS' @@ ( ',' @@ )* )?"`
}

type eventStaleness struct {
	Class string  `parser:"@Name"`
	Bound literal `parser:"@@"`
}

// literal is a quoted string and its position.
type literal struct {
	Pos  lexer.Position
	Text string `parser:"@String"`
}

type dropStmt struct {
	Kind string `parser:"'DROP' @( 'ZONE' | 'SERVICE' | 'CLASS' | 'TEAM' | 'EVENT' )"`
	Name string `parser:"@Name"`
}

type drainStmt struct {
	Verb string `parser:"@( 'DRAIN' | 'UNDRAIN' )"`
	Kind string `parser:"@( 'HOST' | 'UPSTREAM' )"`
	Name string `parser:"@Name"`
}

var lexerRules = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "comment", Pattern: `--[^\n]*`},
	{Name: "whitespace", Pattern: `\s+`},
	{Name: "String", Pattern: `'[^'\n]*'`},
	{Name: "Number", Pattern: `\d+(\.\d+)?`},
	{Name: "Name", Pattern: `[a-zA-Z][a-zA-Z0-9-]*`},
	{Name: "Punct", Pattern: `[,;]`},
})

var parser = participle.MustBuild[script](
	participle.Lexer(lexerRules),
	participle.CaseInsensitive("Name"),
	participle.UseLookahead(2),
)
