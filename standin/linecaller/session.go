// Package linecaller is a caller of the line protocol, for loads and tests.
package linecaller

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// Answer is what one statement got.
type Answer struct {
	ID string
	// Code and Detail are set when the statement failed.
	Code, Detail string
	// Signature names the member that ran the statement.
	Signature string
	Rows      []string
	// State is the state of the session's transaction: I, T or E.
	State string
}

// promises are the codes that promise that nothing of an attempt is kept.
var promises = map[string]bool{
	"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "MISROUTED": true, "TOOMANY": true,
}

// Promised reports whether a code promises that nothing is kept.
func Promised(code string) bool { return promises[code] }

// welcome is the answer to a login: no transaction is open, and no position is
// known.
const welcome = "READY I -"

// Session is one connection of a caller. It is not safe for concurrent use.
type Session struct {
	net     net.Conn
	r       *bufio.Reader
	name    string
	next    int
	timeout time.Duration
}

// RefusedError is a session that the system did not open.
type RefusedError struct{ Line string }

func (e *RefusedError) Error() string { return fmt.Sprintf("the login was answered with %q", e.Line) }

// Code returns the code that refused the session.
func (e *RefusedError) Code() string {
	rest, _ := strings.CutPrefix(e.Line, "ERROR ")
	code, _, _ := strings.Cut(rest, " ")
	return code
}

// DefaultKey is what a caller says where nobody asks for a key.
const DefaultKey = "tester"

// Open opens a session on a database. Name makes the ids of its statements
// unique; timeout bounds the wait for each answer.
func Open(address, database, name string, timeout time.Duration) (*Session, error) {
	return OpenWithKey(address, database, DefaultKey, name, timeout)
}

// OpenWithKey is Open for a caller that proves itself with a team's key.
func OpenWithKey(address, database, key, name string, timeout time.Duration) (*Session, error) {
	nc, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	s := &Session{net: nc, r: bufio.NewReader(nc), name: name, timeout: timeout}
	if err := s.login(database, key); err != nil {
		_ = nc.Close()
		return nil, err
	}
	return s, nil
}

func (s *Session) login(database, key string) error {
	if _, err := fmt.Fprintf(s.net, "START %s %s\r\n", database, key); err != nil {
		return err
	}
	line, err := s.line()
	if err != nil {
		return err
	}
	if line != welcome {
		return &RefusedError{Line: line}
	}
	return nil
}

// Close ends the session without a word.
func (s *Session) Close() { _ = s.net.Close() }

func (s *Session) line() (string, error) {
	if err := s.net.SetReadDeadline(time.Now().Add(s.timeout)); err != nil {
		return "", err
	}
	line, err := s.r.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

// AwaitClose waits until the system ends the session and returns the error that
// shows it; it returns nil when a line came instead, which nobody asked for.
func (s *Session) AwaitClose() error {
	_, err := s.line()
	return err
}

// NextID returns the id that the next statement will have.
func (s *Session) NextID() string { return fmt.Sprintf("%s-%d", s.name, s.next+1) }

// Run sends a statement and reads its answer. After an error the session is of
// no more use.
func (s *Session) Run(text string) (Answer, error) {
	a := Answer{ID: s.NextID()}
	s.next++
	if _, err := fmt.Fprintf(s.net, "QUERY %s %s\r\n", a.ID, text); err != nil {
		return a, err
	}
	for {
		line, err := s.line()
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "DATAROW":
			a.Rows = append(a.Rows, rest)
		case "COMPLETE":
			a.Signature = rest
		case "ERROR":
			a.Code, a.Detail, _ = strings.Cut(rest, " ")
		case "READY":
			a.State, _, _ = strings.Cut(rest, " ")
			return a, nil
		}
	}
}
