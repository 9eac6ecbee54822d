package logpos

import "strings"

// Fork is the point at which a term's entries begin: the first entry of Term
// has the offset Start+1. Entries of older terms past Start were abandoned.
type Fork struct {
	Term  Term
	Start Offset
}

// History lists the forks of one log, in ascending order of term.
type History []Fork

// Last returns the newest term of the history, or zero for an empty one.
func (h History) Last() Term {
	if len(h) == 0 {
		return 0
	}
	return h[len(h)-1].Term
}

// Clone returns a copy that shares no memory with h.
func (h History) Clone() History { return append(History(nil), h...) }

// After returns the oldest fork with a term above t.
func (h History) After(t Term) (Fork, bool) {
	for _, f := range h {
		if f.Term > t {
			return f, true
		}
	}
	return Fork{}, false
}

// Has reports whether term t wrote part of this log.
func (h History) Has(t Term) bool {
	for _, f := range h {
		if f.Term == t {
			return true
		}
	}
	return false
}

// Contains reports whether the entry at p lies on this log's branch. An entry
// of a term that is missing from the history lies on an abandoned branch, even
// where its offset is small.
func (h History) Contains(p Position) bool {
	if p.Offset == 0 {
		return true
	}
	if !h.Has(p.Term) {
		return false
	}
	next, found := h.After(p.Term)
	return !found || p.Offset <= next.Start
}

// Clamp maps p to the largest offset that a reader of p can find on this
// branch. The result never exceeds what the branch holds for terms up to
// p.Term, so nobody waits for an entry that no longer exists. The second result
// reports whether entries of p were abandoned.
func (h History) Clamp(p Position) (Offset, bool) {
	next, found := h.After(p.Term)
	if !found || p.Offset <= next.Start {
		return p.Offset, !h.Contains(p)
	}
	return next.Start, true
}

// String returns the forks as "term/start" joined by commas.
func (h History) String() string {
	parts := make([]string, 0, len(h))
	for _, f := range h {
		parts = append(parts, Position{Term: f.Term, Offset: f.Start}.String())
	}
	return strings.Join(parts, ",")
}

// ParseHistory reads the form written by String.
func ParseHistory(s string) (History, error) {
	if s == "" {
		return nil, nil
	}
	var h History
	for part := range strings.SplitSeq(s, ",") {
		p, err := Parse(part)
		if err != nil {
			return nil, err
		}
		if p.Term <= h.Last() {
			return nil, &ParseError{Text: s}
		}
		h = append(h, Fork{Term: p.Term, Start: p.Offset})
	}
	return h, nil
}
