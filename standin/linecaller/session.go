// Package linecaller is a line protocol client for load generators and tests.
package linecaller

import (
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/dotterelswitch/dotterelswitch/standin/crlf"
)

// Answer is the answer to one statement.
type Answer struct {
	ID string
	// Code and Detail are set when the statement failed.
	Code, Detail string
	// Signature identifies the member that executed the statement.
	Signature string
	Rows      []string
	// State is the transaction state: I (idle), T (in a transaction) or E (failed).
	State string
	// Defect is a message that does not belong into the answer: rows, one result and the
	// state come in this order.
	Defect string
}

// noEffectCodes are the error codes that guarantee that a statement had no effect.
var noEffectCodes = map[string]bool{
	"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "MISROUTED": true, "TOOMANY": true,
}

// NoEffect reports whether an error code guarantees that the statement had no effect.
func NoEffect(code string) bool { return noEffectCodes[code] }

// loginAnswer is the answer to an accepted login: no transaction is open, and no log
// position is known.
const loginAnswer = "READY I -"

// Session is one caller connection. It is not safe for concurrent use.
type Session struct {
	netConn net.Conn
	reader  *crlf.Reader
	name    string
	sent    int
	timeout time.Duration
}

// RefusedError reports a login that was not accepted. Line is the answer.
type RefusedError struct{ Line string }

func (e *RefusedError) Error() string { return fmt.Sprintf("login refused: got answer %q", e.Line) }

// Code returns the error code of the answer.
func (e *RefusedError) Code() string {
	rest, _ := strings.CutPrefix(e.Line, "ERROR ")
	code, _, _ := strings.Cut(rest, " ")
	return code
}

// DefaultKey is sent where no key is required.
const DefaultKey = "tester"

// Open opens a session on a database. name is the prefix of its statement IDs and has
// to be unique; timeout bounds the connection attempt and the wait for each line.
func Open(address, database, name string, timeout time.Duration) (*Session, error) {
	return OpenWithKey(address, database, DefaultKey, name, timeout)
}

// OpenWithKey is Open with a team's API key.
func OpenWithKey(address, database, key, name string, timeout time.Duration) (*Session, error) {
	nc, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	s := &Session{netConn: nc, reader: crlf.NewReader(nc), name: name, timeout: timeout}
	if err := s.login(database, key); err != nil {
		_ = nc.Close()
		return nil, err
	}
	return s, nil
}

func (s *Session) login(database, key string) error {
	if _, err := fmt.Fprintf(s.netConn, "START %s %s\r\n", database, key); err != nil {
		return err
	}
	line, err := s.readLine()
	if err != nil {
		return err
	}
	if line != loginAnswer {
		return &RefusedError{Line: line}
	}
	return nil
}

// Close closes the connection without sending anything.
func (s *Session) Close() { _ = s.netConn.Close() }

func (s *Session) readLine() (string, error) {
	if err := s.netConn.SetReadDeadline(time.Now().Add(s.timeout)); err != nil {
		return "", err
	}
	return s.reader.Read()
}

// AwaitClose waits until the server closes the session and returns the read error. It
// returns nil if an unexpected line arrives instead.
func (s *Session) AwaitClose() error {
	_, err := s.readLine()
	return err
}

// NextID returns the ID of the next statement.
func (s *Session) NextID() string { return fmt.Sprintf("%s-%d", s.name, s.sent+1) }

// Run sends a statement and reads its answer. After an error the session cannot be
// used again.
func (s *Session) Run(text string) (Answer, error) {
	a := Answer{ID: s.NextID()}
	s.sent++
	if _, err := fmt.Fprintf(s.netConn, "QUERY %s %s\r\n", a.ID, text); err != nil {
		return a, err
	}
	for {
		line, err := s.readLine()
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		if hasResult := a.Signature != "" || a.Code != ""; hasResult != (word == "READY") {
			a.Defect = line
		}
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
		default:
			a.Defect = line
		}
	}
}
