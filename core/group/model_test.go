package group_test

import (
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/group"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// modelMember implements the rules that the design requires of a member.
type modelMember struct {
	name        string
	grantedTerm logpos.Term
	grantedTo   int
	primary     bool
	follows     logpos.Term
	log         []logpos.Term // term of each entry; the entry at index i has offset i+1
	history     logpos.History
	acks        map[string]logpos.Position
	up          bool
}

func (m *modelMember) last() logpos.Position {
	if len(m.log) == 0 {
		return logpos.Position{}
	}
	return logpos.Position{Term: m.log[len(m.log)-1], Offset: logpos.Offset(len(m.log))}
}

func (m *modelMember) status() group.Status {
	st := group.Status{
		Member: m.name, GrantedTerm: m.grantedTerm, Primary: m.primary, Follows: m.follows,
		Last: m.last(), Applied: m.last(), History: m.history.Clone(), SincePrimaryContact: time.Hour,
	}
	if m.primary {
		for name, p := range m.acks {
			st.Acks = append(st.Acks, group.Ack{Member: name, Last: p})
		}
	}
	return st
}

func (m *modelMember) append(term logpos.Term) logpos.Position {
	if m.history.LastTerm() != term {
		m.history = append(m.history.Clone(), logpos.Fork{Term: term, Start: logpos.Offset(len(m.log))})
	}
	m.log = append(slices.Clip(m.log), term)
	return m.last()
}

// holds reports whether the log contains the entry at p.
func (m *modelMember) holds(p logpos.Position) bool {
	return int(p.Offset) <= len(m.log) && m.log[p.Offset-1] == p.Term
}

func (m *modelMember) claim(term logpos.Term, claimant int) bool {
	if term == m.grantedTerm && claimant == m.grantedTo {
		return true
	}
	if term <= m.grantedTerm {
		return false
	}
	m.grantedTerm, m.grantedTo, m.primary, m.follows = term, claimant, false, 0
	return true
}

func (m *modelMember) promote(term logpos.Term, claimant int) bool {
	if term != m.grantedTerm || claimant != m.grantedTo || m.follows != 0 {
		return false
	}
	if !m.primary {
		m.primary, m.acks = true, make(map[string]logpos.Position)
		m.append(term)
	}
	return true
}

func (m *modelMember) follow(term logpos.Term) {
	if term < m.grantedTerm || (term == m.grantedTerm && m.primary) {
		return
	}
	if term > m.grantedTerm {
		m.grantedTo = -1
	}
	m.grantedTerm, m.primary, m.follows = term, false, term
}

// replicate copies up to n entries from the primary that the member follows,
// and truncates entries that the primary does not have.
func (m *modelMember) replicate(p *modelMember, n int) {
	if !p.primary || m.follows != p.grantedTerm || m.grantedTerm != p.grantedTerm {
		return
	}
	common := min(len(m.log), len(p.log))
	for common > 0 && m.log[common-1] != p.log[common-1] {
		common--
	}
	end := min(common+n, len(p.log))
	if end < len(m.log) && common == len(m.log) {
		end = len(m.log)
	}
	m.log = slices.Clone(p.log[:max(end, common)])
	m.history = nil
	for _, f := range p.history {
		if int(f.Start) < len(m.log) {
			m.history = append(m.history, f)
		}
	}
}
