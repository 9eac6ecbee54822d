package group_test

import (
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/group"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// modelMember is a member with just the rules that the design assumes.
type modelMember struct {
	name     string
	claimed  logpos.Term
	claimant int
	primary  bool
	follows  logpos.Term
	log      []logpos.Term // the term of each entry; offsets are indices + 1
	history  logpos.History
	acks     map[string]logpos.Position
	up       bool
}

func (m *modelMember) last() logpos.Position {
	if len(m.log) == 0 {
		return logpos.Position{}
	}
	return logpos.Position{Term: m.log[len(m.log)-1], Offset: logpos.Offset(len(m.log))}
}

func (m *modelMember) status() group.Status {
	st := group.Status{
		Member: m.name, Claimed: m.claimed, Primary: m.primary, Follows: m.follows,
		Last: m.last(), Applied: m.last(), History: m.history.Clone(), Heard: time.Hour,
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

// holds reports whether the entry at p is in the member's log.
func (m *modelMember) holds(p logpos.Position) bool {
	return int(p.Offset) <= len(m.log) && m.log[p.Offset-1] == p.Term
}

func (m *modelMember) claim(term logpos.Term, claimant int) bool {
	if term == m.claimed && claimant == m.claimant {
		return true
	}
	if term <= m.claimed {
		return false
	}
	m.claimed, m.claimant, m.primary, m.follows = term, claimant, false, 0
	return true
}

func (m *modelMember) promote(term logpos.Term, claimant int) bool {
	if term != m.claimed || claimant != m.claimant || m.follows != 0 {
		return false
	}
	if !m.primary {
		m.primary, m.acks = true, make(map[string]logpos.Position)
		m.append(term)
	}
	return true
}

func (m *modelMember) follow(term logpos.Term) {
	if term < m.claimed || (term == m.claimed && m.primary) {
		return
	}
	if term > m.claimed {
		m.claimant = -1
	}
	m.claimed, m.primary, m.follows = term, false, term
}

// replicate copies up to n entries from a primary that the member follows, and
// drops what the primary does not have.
func (m *modelMember) replicate(p *modelMember, n int) {
	if !p.primary || m.follows != p.claimed || m.claimed != p.claimed {
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
