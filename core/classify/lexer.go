package classify

import "strings"

// lexer finds the words of a query text by PostgreSQL's lexical rules.
type lexer struct {
	src   string
	pos   int
	words []string
	// count is the number of statements begun; pending is true while the
	// current one has content.
	count   int
	pending bool
	hints   Hints
}

func newLexer(src string) *lexer { return &lexer{src: src} }

func (l *lexer) run() ([]string, int) {
	for l.pos < len(l.src) {
		l.step()
	}
	return l.words, l.count
}

func (l *lexer) step() {
	c := l.src[l.pos]
	switch {
	case c == '\'':
		l.content()
		l.quoted('\'', false)
	case c == '"':
		l.content()
		l.quoted('"', false)
	case (c == 'e' || c == 'E') && l.peek(1) == '\'':
		l.content()
		l.pos++
		l.quoted('\'', true)
	case c == '$' && l.dollarTag() != "":
		l.content()
		l.dollarQuoted(l.dollarTag())
	case c == '-' && l.peek(1) == '-':
		l.lineComment()
	case c == '/' && l.peek(1) == '*':
		l.blockComment()
	case c == ';':
		l.pending = false
		l.pos++
	case isWordStart(c):
		l.content()
		l.word()
	default:
		if c > ' ' {
			l.content()
		}
		l.pos++
	}
}

// content notes that the current statement is not empty.
func (l *lexer) content() {
	if !l.pending {
		l.pending = true
		l.count++
	}
}

func (l *lexer) peek(n int) byte {
	if l.pos+n < len(l.src) {
		return l.src[l.pos+n]
	}
	return 0
}

func (l *lexer) quoted(quote byte, escapes bool) {
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
		if l.pos < len(l.src) && l.src[l.pos] == quote {
			l.pos++
			continue
		}
		return
	}
}

// dollarTag returns the opening tag of a dollar-quoted string at the current
// position, or "" when there is none.
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

func (l *lexer) dollarQuoted(tag string) {
	l.pos += len(tag)
	end := strings.Index(l.src[l.pos:], tag)
	if end < 0 {
		l.pos = len(l.src)
		return
	}
	l.pos += end + len(tag)
}

func (l *lexer) lineComment() {
	end := strings.IndexByte(l.src[l.pos:], '\n')
	if end < 0 {
		l.pos = len(l.src)
		return
	}
	l.pos += end + 1
}

// blockComment skips a comment; they nest.
func (l *lexer) blockComment() {
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

func (l *lexer) word() {
	start := l.pos
	for l.pos < len(l.src) && isWordPart(l.src[l.pos]) {
		l.pos++
	}
	l.words = append(l.words, strings.ToUpper(l.src[start:l.pos]))
}

func isWordStart(c byte) bool {
	return c == '_' || c >= 0x80 || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
}

func isWordPart(c byte) bool {
	return isWordStart(c) || (c >= '0' && c <= '9')
}
