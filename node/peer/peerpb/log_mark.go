package peerpb

import (
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
)

// FromLogMark encodes a mark; nil for none.
func FromLogMark(m succession.LogMark) *LogMark {
	if m.Member == "" {
		return nil
	}
	return &LogMark{
		Primary: m.Member, LeadTerm: uint64(m.Term), Term: uint64(m.Position.Term), Offset: uint64(m.Position.Offset),
		Lost: m.Lost, Restarted: m.Restarted,
	}
}

// ToLogMark decodes a mark; the zero value for nil.
func ToLogMark(p *LogMark) succession.LogMark {
	return succession.LogMark{
		Member: p.GetPrimary(), Term: logpos.Term(p.GetLeadTerm()),
		Position: logpos.Position{Term: logpos.Term(p.GetTerm()), Offset: logpos.Offset(p.GetOffset())},
		Lost:     p.GetLost(), Restarted: p.GetRestarted(),
	}
}
