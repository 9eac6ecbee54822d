package peerpb

import "github.com/dotterelswitch/dotterelswitch/core/logpos"

// FromPosition encodes a log position.
func FromPosition(p logpos.Position) *Position {
	return &Position{Term: uint64(p.Term), Offset: uint64(p.Offset)}
}

// ToPosition decodes a log position; the zero value for nil.
func ToPosition(p *Position) logpos.Position {
	return logpos.Position{Term: logpos.Term(p.GetTerm()), Offset: logpos.Offset(p.GetOffset())}
}
