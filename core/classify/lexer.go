package classify

import "strings"

// lexer extracts the keywords, unquoted identifiers and hints of a query text by
// PostgreSQL's lexical rules.
type lexer struct {
	src    string
	pos    int
	tokens []string
	// starts are the indexes in tokens at which statements begin; inStatement is set once
	// the current statement has a token.
	starts      []int
	inStatement bool
	// count is the number of non-empty statements so far; nonEmpty reports whether the
	// current statement is one of them.
	count    int
	nonEmpty bool
	// ambiguous is set if the text has a plain string with a backslash before a quote.
	// Where the string ends depends on standard_conforming_strings, and on whether it
	// continues an escape string of the line before.
	ambiguous bool
	hints     Hints
}

func newLexer(src string) *lexer { return &lexer{src: src} }

func (l *lexer) tokenize() ([]string, int) {
	for l.pos < len(l.src) {
		l.scanToken()
	}
	return l.tokens, l.count
}

func (l *lexer) scanToken() {
	c := l.src[l.pos]
	switch {
	case c == '\'':
		l.markNonEmpty()
		l.skipQuoted('\'', false)
	case c == '"':
		l.markNonEmpty()
		l.scanQuotedIdentifier()
	case (c == 'e' || c == 'E') && l.peek(1) == '\'':
		l.markNonEmpty()
		l.pos++
		l.skipQuoted('\'', true)
	case c == '$' && l.dollarTag() != "":
		l.markNonEmpty()
		l.skipDollarQuoted(l.dollarTag())
	case c == '-' && l.peek(1) == '-':
		l.skipLineComment()
	case c == '/' && l.peek(1) == '*':
		l.skipBlockComment()
	case c == ';':
		l.nonEmpty, l.inStatement = false, false
		l.pos++
	case isWordStart(c):
		l.markNonEmpty()
		l.scanWord()
	default:
		if c > ' ' {
			l.markNonEmpty()
		}
		l.pos++
	}
}

func (l *lexer) addToken(token string) {
	if !l.inStatement {
		l.inStatement = true
		l.starts = append(l.starts, len(l.tokens))
	}
	l.tokens = append(l.tokens, token)
}

// statements returns the tokens of each statement.
func (l *lexer) statements() [][]string {
	var out [][]string
	for i, start := range l.starts {
		end := len(l.tokens)
		if i+1 < len(l.starts) {
			end = l.starts[i+1]
		}
		out = append(out, l.tokens[start:end])
	}
	return out
}

// markNonEmpty counts the current statement unless it has been counted.
func (l *lexer) markNonEmpty() {
	if !l.nonEmpty {
		l.nonEmpty = true
		l.count++
	}
}

func (l *lexer) peek(n int) byte {
	if l.pos+n < len(l.src) {
		return l.src[l.pos+n]
	}
	return 0
}

func (l *lexer) skipQuoted(quote byte, escapes bool) {
	l.pos++
	for l.pos < len(l.src) {
		c := l.src[l.pos]
		l.pos++
		if escapes && c == '\\' {
			l.pos++
			continue
		}
		if c != quote {
			continue
		}
		l.ambiguous = l.ambiguous || (!escapes && quote == '\'' && l.src[l.pos-2] == '\\')
		if l.pos < len(l.src) && l.src[l.pos] == quote {
			l.pos++
			continue
		}
		return
	}
}

// dollarTag returns the opening tag of the dollar-quoted string at the current
// position, or "" if there is none.
func (l *lexer) dollarTag() string {
	end := strings.IndexByte(l.src[l.pos+1:], '$')
	if end < 0 {
		return ""
	}
	name := l.src[l.pos+1 : l.pos+1+end]
	for i := range len(name) {
		if !isWordPart(name[i]) || (i == 0 && !isWordStart(name[i])) {
			return ""
		}
	}
	return l.src[l.pos : l.pos+end+2]
}

func (l *lexer) skipDollarQuoted(tag string) {
	l.pos += len(tag)
	end := strings.Index(l.src[l.pos:], tag)
	if end < 0 {
		l.pos = len(l.src)
		return
	}
	l.pos += end + len(tag)
}

func (l *lexer) skipLineComment() {
	end := strings.IndexAny(l.src[l.pos:], "\r\n")
	if end < 0 {
		l.pos = len(l.src)
		return
	}
	l.pos += end + 1
}

// skipBlockComment skips a block comment, which may be nested, and parses its hints.
func (l *lexer) skipBlockComment() {
	start, depth := l.pos, 0
	for l.pos < len(l.src) {
		switch {
		case l.src[l.pos] == '/' && l.peek(1) == '*':
			depth++
			l.pos += 2
		case l.src[l.pos] == '*' && l.peek(1) == '/':
			depth--
			l.pos += 2
		default:
			l.pos++
		}
		if depth == 0 {
			l.hints.parse(l.src[start+2 : l.pos-2])
			return
		}
	}
}

func (l *lexer) scanWord() {
	start := l.pos
	for l.pos < len(l.src) && (isWordPart(l.src[l.pos]) || l.src[l.pos] == '$') {
		l.pos++
	}
	l.addToken(strings.ToUpper(l.src[start:l.pos]))
}

// scanQuotedIdentifier keeps a quoted identifier only if it names a function that the
// classification depends on; other quoted names are no keywords.
func (l *lexer) scanQuotedIdentifier() {
	start := l.pos
	l.skipQuoted('"', false)
	name := strings.Trim(l.src[start:l.pos], `"`)
	if token := strings.ToUpper(name); name == strings.ToLower(name) && isRelevantFunction(token) {
		l.addToken(token)
	}
}

func isWordStart(c byte) bool {
	return c == '_' || c >= 0x80 || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
}

// isWordPart reports whether c continues the tag of a dollar-quoted string. An identifier
// may contain dollar signs as well.
func isWordPart(c byte) bool {
	return isWordStart(c) || (c >= '0' && c <= '9')
}
