package lang

import (
	"errors"
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// SyntaxError reports a fault in the text of a program.
type SyntaxError struct {
	File         string
	Line, Column int
	Message      string
}

func (e *SyntaxError) Error() string {
	file := e.File
	if file == "" {
		file = "input"
	}
	return fmt.Sprintf("%s:%d:%d: %s", file, e.Line, e.Column, e.Message)
}

func at(pos lexer.Position, format string, args ...any) *SyntaxError {
	return &SyntaxError{File: pos.Filename, Line: pos.Line, Column: pos.Column, Message: fmt.Sprintf(format, args...)}
}

// keywords are the words that a near miss is compared with.
var keywords = []string{
	"ZONE", "REGION", "SERVICE", "UPSTREAM", "ADDRESS", "SLOTS", "CONNECTIONS", "CLASS", "STALENESS",
	"TEAM", "WEIGHT", "EVENT", "START", "SERVICES", "DROP", "DRAIN", "UNDRAIN", "HOST",
}

// syntaxError turns the parser's error into one with a near name.
func syntaxError(err error, text string) error {
	var pe participle.Error
	if !errors.As(err, &pe) {
		return &SyntaxError{Message: err.Error()}
	}
	message := pe.Message()
	if near := nearest(wordAt(text, pe.Position().Offset)); near != "" {
		message += fmt.Sprintf("; did you mean %s?", near)
	}
	return at(pe.Position(), "%s", message)
}

func wordAt(text string, offset int) string {
	if offset < 0 || offset > len(text) {
		return ""
	}
	rest := text[offset:]
	end := strings.IndexFunc(rest, func(r rune) bool { return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z') })
	if end >= 0 {
		rest = rest[:end]
	}
	return strings.ToUpper(rest)
}

// maxTypos is how many letters a near name may differ in.
const maxTypos = 2

// nearest returns the keyword that is almost the word, or "".
func nearest(word string) string {
	best, bestDistance := "", maxTypos+1
	for _, k := range keywords {
		if d := distance(word, k); d > 0 && d < bestDistance && d < len(k)/2+1 {
			best, bestDistance = k, d
		}
	}
	if word == "" {
		return ""
	}
	return best
}

// distance is the Levenshtein distance.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		previous := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := previous
			if a[i] != b[j] {
				cost++
			}
			previous = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
