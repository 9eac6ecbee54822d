package dbgroup

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// PositionParameter is the ParameterStatus name under which a member reports the
// position of the last commit or read snapshot, sent before ReadyForQuery. It is
// omitted after an exchange that neither read nor committed.
const PositionParameter = "group.position"

const textOID = 25

type portal struct {
	statement *prepared
	params    []string
}

type prepared struct {
	statements []*statement
	paramTypes []uint32
}

// backendConn is the server side of one PostgreSQL connection.
type backendConn struct {
	member          *Member
	conn            net.Conn
	backend         *pgproto3.Backend
	executor        *executor
	pid             uint32
	secret          string
	applicationName string
	prepared        map[string]*prepared
	portals         map[string]*portal
	// skipUntilSync discards extended-protocol messages after an error.
	skipUntilSync bool

	mu              sync.Mutex
	cancelStatement context.CancelFunc
}

func newBackendConn(m *Member, c net.Conn) *backendConn {
	b := &backendConn{
		member: m, conn: c, backend: pgproto3.NewBackend(c, c), secret: "key!",
		prepared: make(map[string]*prepared), portals: make(map[string]*portal),
	}
	b.executor = &executor{member: m, backend: b}
	return b
}

// startup handles the startup messages and reports whether the client opens a
// session.
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
			b.applicationName = msg.Parameters["application_name"]
			return true
		default:
			return false
		}
	}
}

func (b *backendConn) completeStartup() {
	b.backend.Send(&pgproto3.AuthenticationOk{})
	b.backend.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: "16.0"})
	b.backend.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	b.backend.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	b.backend.Send(&pgproto3.BackendKeyData{ProcessID: b.pid, SecretKey: []byte(b.secret)})
	b.sendReadyForQuery()
}

func (b *backendConn) sendFatal(code, message string) {
	b.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: code, Message: message})
	_ = b.backend.Flush()
}

// abort closes the connection with a TCP reset.
func (b *backendConn) abort() {
	b.cancelRunning()
	if tcp, ok := b.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = b.conn.Close()
}

// rollbackOpen rolls back the transaction that the connection left open.
func (b *backendConn) rollbackOpen() {
	if b.executor.txn != nil {
		b.member.rollback(b.executor.txn)
		b.executor.txn = nil
	}
}

func (b *backendConn) serveMessages() {
	for {
		msg, err := b.backend.Receive()
		if err != nil {
			return
		}
		b.member.faults.waitWhilePaused()
		if _, isTerminate := msg.(*pgproto3.Terminate); isTerminate {
			return
		}
		b.handle(msg)
	}
}

func (b *backendConn) handle(msg pgproto3.FrontendMessage) {
	if _, isSync := msg.(*pgproto3.Sync); b.skipUntilSync && !isSync {
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
		b.skipUntilSync = false
		b.sendReadyForQuery()
	case *pgproto3.Flush:
		_ = b.backend.Flush()
	}
	if err != nil {
		b.sendError(err)
		b.skipUntilSync = true
	}
}

// sendError sends an error, which fails the open transaction.
func (b *backendConn) sendError(err error) {
	b.failTxn()
	var sqlErr *sqlError
	if !errors.As(err, &sqlErr) {
		sqlErr = &sqlError{code: "XX000", message: err.Error()}
	}
	b.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: sqlErr.code, Message: sqlErr.message})
}

func (b *backendConn) sendReadyForQuery() {
	if !b.executor.position.IsZero() {
		b.backend.Send(&pgproto3.ParameterStatus{Name: PositionParameter, Value: b.executor.position.String()})
		b.executor.position = logpos.Position{}
	}
	status := byte('I')
	if t := b.executor.txn; t != nil {
		status = 'T'
		if t.failed {
			status = 'E'
		}
	}
	b.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	_ = b.backend.Flush()
}
