// Package logpos holds the types that order entries in the replicated log of a
// database group: terms, positions and the history of forks. The rules follow
// the log matching rules of the Raft paper (Ongaro and Ousterhout, 2014).
package logpos

import (
	"cmp"
	"strconv"
	"strings"
)

// Term numbers the reigns of primaries in one group. Terms only grow, and each
// has at most one primary.
type Term uint64

// Offset numbers the entries of a log from 1. Zero means an empty log.
type Offset uint64

// Position names an entry by the term that wrote it and its offset.
type Position struct {
	Term   Term
	Offset Offset
}

// Compare orders positions by term first and by offset within a term. This is
// the order in which logs are compared when a primary is chosen.
func (p Position) Compare(q Position) int {
	if c := cmp.Compare(p.Term, q.Term); c != 0 {
		return c
	}
	return cmp.Compare(p.Offset, q.Offset)
}

// Less reports whether p is before q.
func (p Position) Less(q Position) bool { return p.Compare(q) < 0 }

// IsZero reports whether p names no entry.
func (p Position) IsZero() bool { return p == Position{} }

// String returns "term/offset", the form used on the wire.
func (p Position) String() string {
	return strconv.FormatUint(uint64(p.Term), 10) + "/" + strconv.FormatUint(uint64(p.Offset), 10)
}

// Parse reads the form written by String. A malformed text is a *ParseError.
func Parse(s string) (Position, error) {
	before, after, found := strings.Cut(s, "/")
	if !found {
		return Position{}, &ParseError{Text: s}
	}
	term, err := strconv.ParseUint(before, 10, 64)
	if err != nil {
		return Position{}, &ParseError{Text: s}
	}
	offset, err := strconv.ParseUint(after, 10, 64)
	if err != nil {
		return Position{}, &ParseError{Text: s}
	}
	return Position{Term: Term(term), Offset: Offset(offset)}, nil
}
