package dbgroup

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// entry is one committed transaction in a member's log.
type entry struct {
	position    logpos.Position
	ops         []op
	committedAt time.Time
}

// entryLog is a member's durable log. Entry i has offset i+1.
type entryLog struct {
	entries []entry
	history logpos.History
}

func (l *entryLog) last() logpos.Position {
	if len(l.entries) == 0 {
		return logpos.Position{}
	}
	return l.entries[len(l.entries)-1].position
}

func (l *entryLog) append(term logpos.Term, ops []op, at time.Time) entry {
	if l.history.LastTerm() != term {
		l.history = append(l.history.Clone(), logpos.Fork{Term: term, Start: logpos.Offset(len(l.entries))})
	}
	e := entry{
		position:    logpos.Position{Term: term, Offset: logpos.Offset(len(l.entries) + 1)},
		ops:         ops,
		committedAt: at,
	}
	l.entries = append(l.entries, e)
	return e
}

// commonPrefixLen returns the length of the prefix that two logs share.
func (l *entryLog) commonPrefixLen(other []entry) int {
	n := min(len(l.entries), len(other))
	for n > 0 && l.entries[n-1].position != other[n-1].position {
		n--
	}
	return n
}

// truncate drops the entries after the first n.
func (l *entryLog) truncate(n int) {
	l.entries = l.entries[:n:n]
	last := l.last()
	kept := logpos.History{}
	for _, f := range l.history {
		if f.Term <= last.Term {
			kept = append(kept, f)
		}
	}
	l.history = kept
}
