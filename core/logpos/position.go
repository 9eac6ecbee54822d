// Package logpos defines the types that order entries in the replicated log of
// a database group: terms, positions and the history of forks. The rules follow
// the log matching property of Raft (Ongaro and Ousterhout, 2014).
package logpos

import (
	"cmp"
	"strconv"
	"strings"
)

// Term numbers the periods of leadership in a group. Terms only increase, and
// each has at most one primary.
type Term uint64

// Offset is the index of a log entry, from 1. Zero means an empty log.
type Offset uint64

// Position identifies a log entry by the term that wrote it and its offset.
type Position struct {
	Term   Term
	Offset Offset
}

// Compare orders positions by term, then by offset. Logs are compared in this
// order when a primary is chosen.
func (p Position) Compare(q Position) int {
	if c := cmp.Compare(p.Term, q.Term); c != 0 {
		return c
	}
	return cmp.Compare(p.Offset, q.Offset)
}

func (p Position) Less(q Position) bool { return p.Compare(q) < 0 }

// IsZero reports whether p is the position of an empty log.
func (p Position) IsZero() bool { return p == Position{} }

// String returns "term/offset", the form used on the wire.
func (p Position) String() string {
	return strconv.FormatUint(uint64(p.Term), 10) + "/" + strconv.FormatUint(uint64(p.Offset), 10)
}

// Parse parses the output of String. The error is a *ParseError.
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
