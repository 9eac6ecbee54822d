package classify_test

import (
	"regexp"
	"slices"
	"strings"
)

// reference is what the reference lexer finds in a query text.
type reference struct {
	// statements is the number of statements that are not empty.
	statements int
	// words are the unquoted words, in upper case.
	words []string
}

func (r reference) writes() bool {
	return slices.ContainsFunc(r.words, func(w string) bool { return slices.Contains([]string{"INSERT", "UPDATE", "DELETE", "MERGE"}, w) })
}

// referenceTokens are the tokens of PostgreSQL's scanner, as regular expressions that
// match at the start of a text; the first that matches counts.
var referenceTokens = []struct {
	kind    string
	pattern *regexp.Regexp
}{
	{"space", regexp.MustCompile(`^[\x00-\x20]+`)},
	{"space", regexp.MustCompile(`^--[^\r\n]*`)},
	{"value", regexp.MustCompile(`^[eE]'(?s:[^'\\]|''|\\.)*(?:'|\\?$)`)},
	{"value", regexp.MustCompile(`^'(?:[^']|'')*(?:'|$)`)},
	{"value", regexp.MustCompile(`^"(?:[^"]|"")*(?:"|$)`)},
	{"word", regexp.MustCompile(`^[A-Za-z_\x80-\xff][A-Za-z0-9_$\x80-\xff]*`)},
	{"end", regexp.MustCompile(`^;`)},
}

var dollarTag = regexp.MustCompile(`^\$(?:[A-Za-z_\x80-\xff][A-Za-z0-9_\x80-\xff]*)?\$`)

// readReference reads a query text with standard_conforming_strings on.
func readReference(sql string) reference {
	var r reference
	// Regular expressions work on runes: each byte becomes one.
	runes := make([]rune, len(sql))
	for i := range len(sql) {
		runes[i] = rune(sql[i])
	}
	rest, inStatement := string(runes), false
	for rest != "" {
		kind, text := nextReferenceToken(rest)
		rest = rest[len(text):]
		switch kind {
		case "space":
			continue
		case "end":
			inStatement = false
			continue
		case "word":
			r.words = append(r.words, strings.ToUpper(text))
		}
		if !inStatement {
			inStatement = true
			r.statements++
		}
	}
	return r
}

func nextReferenceToken(rest string) (kind, text string) {
	if strings.HasPrefix(rest, "/*") {
		return "space", rest[:blockCommentEnd(rest)]
	}
	if tag := dollarTag.FindString(rest); tag != "" {
		if body, _, closed := strings.Cut(rest[len(tag):], tag); closed {
			return "value", tag + body + tag
		}
		return "value", rest
	}
	for _, token := range referenceTokens {
		if text := token.pattern.FindString(rest); text != "" {
			return token.kind, text
		}
	}
	return "value", string([]rune(rest)[:1])
}

// blockCommentEnd returns the length of the nested comment at the start of a text.
func blockCommentEnd(rest string) int {
	depth := 0
	for i := 0; i+1 < len(rest); {
		switch rest[i : i+2] {
		case "/*":
			depth++
			i += 2
		case "*/":
			depth--
			i += 2
		default:
			i++
		}
		if depth == 0 {
			return i
		}
	}
	return len(rest)
}
