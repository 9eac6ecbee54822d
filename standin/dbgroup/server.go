package dbgroup

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

type server struct {
	member *Member
	addr   string

	mu            sync.Mutex
	listener      net.Listener
	conns         map[*backendConn]bool
	advisoryLocks map[string]*backendConn
	lastPID       uint32
	peakConns     int
	refusedConns  int
}

func newServer(m *Member) *server {
	return &server{member: m, conns: make(map[*backendConn]bool), advisoryLocks: make(map[string]*backendConn)}
}

// Addr returns the address that the member listens on.
func (m *Member) Addr() string { return m.server.addr }

// PeakConnections returns the highest number of concurrent connections and the
// number of refused ones.
func (m *Member) PeakConnections() (peak, refused int) {
	m.server.mu.Lock()
	defer m.server.mu.Unlock()
	return m.server.peakConns, m.server.refusedConns
}

func (s *server) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listener, s.addr = l, l.Addr().String()
	s.mu.Unlock()
	go s.accept(l)
	return nil
}

func (s *server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// close closes the listener and resets all connections.
func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.conns {
		c.abort()
	}
}

func (s *server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	s.member.faults.waitWhilePaused()
	b := newBackendConn(s.member, c)
	if !b.startup() {
		return
	}
	if !s.admit(b) {
		b.sendFatal(codeTooManyConnections, "sorry, too many clients already")
		return
	}
	defer s.remove(b)
	time.Sleep(s.member.cfg.ConnectCost)
	b.completeStartup()
	b.serveMessages()
}

// admit registers a connection unless the limit is reached or the member has
// crashed.
func (s *server) admit(b *backendConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.member.cfg.Connections || s.member.faults.crashed.Load() {
		s.refusedConns++
		return false
	}
	s.lastPID++
	b.pid = s.lastPID
	s.conns[b] = true
	s.peakConns = max(s.peakConns, len(s.conns))
	return true
}

func (s *server) remove(b *backendConn) {
	b.rollbackOpen()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, b)
	for k, holder := range s.advisoryLocks {
		if holder == b {
			delete(s.advisoryLocks, k)
		}
	}
}

// tryAdvisoryLock takes a session-level advisory lock if no other session holds
// it.
func (s *server) tryAdvisoryLock(key string, b *backendConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	holder, held := s.advisoryLocks[key]
	if held {
		return holder == b
	}
	s.advisoryLocks[key] = b
	return true
}

func (s *server) advisoryUnlock(key string, b *backendConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.advisoryLocks[key] != b {
		return false
	}
	delete(s.advisoryLocks, key)
	return true
}

// terminate resets the connections whose application name begins with
// applicationPrefix and is not except.
func (s *server) terminate(applicationPrefix, except string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	closed := false
	for c := range s.conns {
		if c.applicationName != except && strings.HasPrefix(c.applicationName, applicationPrefix) {
			c.abort()
			closed = true
		}
	}
	return closed
}

// cancel stops the running statement of the connection that req identifies.
func (s *server) cancel(req *pgproto3.CancelRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.pid == req.ProcessID && c.secret == string(req.SecretKey) {
			c.cancelRunning()
		}
	}
}

// statementContext returns a context that a cancel request ends.
func (b *backendConn) statementContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cancelStatement = cancel
	return ctx, cancel
}

func (b *backendConn) cancelRunning() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cancelStatement != nil {
		b.cancelStatement()
	}
}
