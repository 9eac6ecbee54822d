package lang

import (
	"errors"
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// SyntaxError reports a syntax error and its position.
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

func errorAt(pos lexer.Position, format string, args ...any) *SyntaxError {
	return &SyntaxError{File: pos.Filename, Line: pos.Line, Column: pos.Column, Message: fmt.Sprintf(format, args...)}
}

// keywords are the candidates for corrections of misspelt words.
var keywords = []string{
	"ZONE", "REGION", "SERVICE", "UPSTREAM", "ADDRESS", "SLOTS", "CONNECTIONS", "CLASS", "STALENESS",
	"TEAM", "WEIGHT", "EVENT", "START", "SERVICES", "DROP", "DRAIN", "UNDRAIN", "HOST",
}

// syntaxError converts the parser's error and suggests a keyword if the unexpected
// token looks like a misspelt one.
func syntaxError(err error, text string) error {
	var parseErr participle.Error
	if !errors.As(err, &parseErr) {
		return &SyntaxError{Message: err.Error()}
	}
	message := parseErr.Message()
	if suggestion := closestKeyword(wordAt(text, parseErr.Position().Offset)); suggestion != "" {
		message += fmt.Sprintf("; did you mean %s?", suggestion)
	}
	return errorAt(parseErr.Position(), "%s", message)
}

// wordAt returns the letters that begin at offset, in upper case.
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

// maxEditDistance is the largest edit distance between a misspelt word and the
// suggested keyword.
const maxEditDistance = 2

// closestKeyword returns the keyword with the smallest edit distance to word, or ""
// if none is close enough. Short keywords allow fewer edits.
func closestKeyword(word string) string {
	best, bestDistance := "", maxEditDistance+1
	for _, k := range keywords {
		if d := editDistance(word, k); d > 0 && d < bestDistance && d < len(k)/2+1 {
			best, bestDistance = k, d
		}
	}
	if word == "" {
		return ""
	}
	return best
}

// editDistance returns the Levenshtein distance of two strings.
func editDistance(a, b string) int {
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
