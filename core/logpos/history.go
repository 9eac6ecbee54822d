package logpos

import "strings"

// Fork is the point at which the entries of a term begin: the first entry of
// Term has the offset Start+1. Entries of older terms after Start are not part
// of the log.
type Fork struct {
	Term  Term
	Start Offset
}

// History lists the forks of one log, in ascending order of term.
type History []Fork

// LastTerm returns the newest term of the history, or zero if it is empty.
func (h History) LastTerm() Term {
	if len(h) == 0 {
		return 0
	}
	return h[len(h)-1].Term
}

// Clone returns a deep copy.
func (h History) Clone() History { return append(History(nil), h...) }

// ForkAfter returns the oldest fork with a term above t.
func (h History) ForkAfter(t Term) (Fork, bool) {
	for _, f := range h {
		if f.Term > t {
			return f, true
		}
	}
	return Fork{}, false
}

// HasTerm reports whether the log has entries of term t.
func (h History) HasTerm(t Term) bool {
	for _, f := range h {
		if f.Term == t {
			return true
		}
	}
	return false
}

// Contains reports whether the entry at p is on the branch of this log. An
// entry whose term is missing from the history is on an abandoned branch,
// whatever its offset.
func (h History) Contains(p Position) bool {
	if p.Offset == 0 {
		return true
	}
	if !h.HasTerm(p.Term) {
		return false
	}
	next, found := h.ForkAfter(p.Term)
	return !found || p.Offset <= next.Start
}

// Clamp maps p to an offset on this branch: p's own offset, or the start of the
// next term's fork if p is past it, so that a reader never waits for an entry
// that no longer exists. The second result reports whether entries up to p were
// abandoned.
func (h History) Clamp(p Position) (Offset, bool) {
	next, found := h.ForkAfter(p.Term)
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

// ParseHistory parses the output of String. The error is a *ParseError.
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
		if p.Term <= h.LastTerm() {
			return nil, &ParseError{Text: s}
		}
		h = append(h, Fork{Term: p.Term, Start: p.Offset})
	}
	return h, nil
}
