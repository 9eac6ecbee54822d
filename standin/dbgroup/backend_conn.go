package dbgroup

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// PositionParameter is the name under which a member reports the position of
// the last commit or snapshot of an exchange, ahead of ReadyForQuery. An
// exchange that neither read nor committed reports none.
const PositionParameter = "group.position"

const textOID = 25

// portal is a bound statement.
type portal struct {
	statement *prepared
	params    []string
}

// prepared is a parsed statement.
type prepared struct {
	statements []*statement
	paramCount int
}

// backendConn is the server side of one connection.
type backendConn struct {
	member      *Member
	conn        net.Conn
	backend     *pgproto3.Backend
	exec        *executor
	pid         uint32
	secret      string
	application string
	prepared    map[string]*prepared
	portals     map[string]*portal
	// skip discards extended messages after an error, until Sync.
	skip bool

	mu              sync.Mutex
	cancelStatement context.CancelFunc
}

func newBackendConn(m *Member, c net.Conn) *backendConn {
	b := &backendConn{
		member: m, conn: c, backend: pgproto3.NewBackend(c, c), secret: "key!",
		prepared: make(map[string]*prepared), portals: make(map[string]*portal),
	}
	b.exec = &executor{member: m, backend: b}
	return b
}

// startup reads the opening messages; it reports whether a session follows.
func (b *backendConn) startup() bool {
	for {
		msg, err := b.backend.ReceiveStartupMessage()
		if err != nil {
			return false
		}
		switch msg := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := b.conn.Write([]byte("N")); err != nil {
				return false
			}
		case *pgproto3.CancelRequest:
			b.member.server.cancel(msg)
			return false
		case *pgproto3.StartupMessage:
			b.application = msg.Parameters["application_name"]
			return true
		default:
			return false
		}
	}
}

func (b *backendConn) ready() {
	b.backend.Send(&pgproto3.AuthenticationOk{})
	b.backend.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: "16.0"})
	b.backend.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	b.backend.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	b.backend.Send(&pgproto3.BackendKeyData{ProcessID: b.pid, SecretKey: []byte(b.secret)})
	b.readyForQuery()
}

func (b *backendConn) fatal(code, message string) {
	b.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: code, Message: message})
	_ = b.backend.Flush()
}

// abort drops the connection without a word.
func (b *backendConn) abort() {
	b.cancelRunning()
	if tcp, ok := b.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = b.conn.Close()
}

// end rolls back what the connection left open.
func (b *backendConn) end() {
	if b.exec.txn != nil {
		b.member.rollback(b.exec.txn)
		b.exec.txn = nil
	}
}

func (b *backendConn) loop() {
	for {
		msg, err := b.backend.Receive()
		if err != nil {
			return
		}
		b.member.faults.gate()
		if _, last := msg.(*pgproto3.Terminate); last {
			return
		}
		b.handle(msg)
	}
}

func (b *backendConn) handle(msg pgproto3.FrontendMessage) {
	if _, sync := msg.(*pgproto3.Sync); b.skip && !sync {
		return
	}
	var err error
	switch msg := msg.(type) {
	case *pgproto3.Query:
		b.simpleQuery(msg.String)
	case *pgproto3.Parse:
		err = b.parse(msg)
	case *pgproto3.Bind:
		err = b.bind(msg)
	case *pgproto3.Describe:
		err = b.describe(msg)
	case *pgproto3.Execute:
		err = b.executePortal(msg)
	case *pgproto3.Close:
		delete(b.prepared, msg.Name)
		b.backend.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Sync:
		b.skip = false
		b.readyForQuery()
	case *pgproto3.Flush:
		_ = b.backend.Flush()
	}
	if err != nil {
		b.sendError(err)
		b.skip = true
	}
}

func (b *backendConn) sendError(err error) {
	var se *sqlError
	if !errors.As(err, &se) {
		se = &sqlError{code: "XX000", message: err.Error()}
	}
	b.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: se.code, Message: se.message})
}

func (b *backendConn) readyForQuery() {
	if !b.exec.position.IsZero() {
		b.backend.Send(&pgproto3.ParameterStatus{Name: PositionParameter, Value: b.exec.position.String()})
		b.exec.position = logpos.Position{}
	}
	status := byte('I')
	if t := b.exec.txn; t != nil {
		status = 'T'
		if t.failed {
			status = 'E'
		}
	}
	b.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	_ = b.backend.Flush()
}
