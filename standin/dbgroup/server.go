package dbgroup

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// server accepts connections for one member.
type server struct {
	member *Member
	addr   string

	mu       sync.Mutex
	listener net.Listener
	conns    map[*backendConn]bool
	locks    map[string]*backendConn
	nextPID  uint32
	peak     int
	refused  int
}

func newServer(m *Member) *server {
	return &server{member: m, conns: make(map[*backendConn]bool), locks: make(map[string]*backendConn)}
}

// Addr returns the address of the member's listener.
func (m *Member) Addr() string { return m.server.addr }

// PeakConnections returns the most connections that were open at once, and
// how many were refused over the limit.
func (m *Member) PeakConnections() (peak, refused int) {
	m.server.mu.Lock()
	defer m.server.mu.Unlock()
	return m.server.peak, m.server.refused
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

// close drops the listener and all connections at once.
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
	s.member.faults.gate()
	b := newBackendConn(s.member, c)
	if !b.startup() {
		return
	}
	if !s.admit(b) {
		b.fatal(codeTooManyConnections, "sorry, too many clients already")
		return
	}
	defer s.remove(b)
	time.Sleep(s.member.cfg.ConnectCost)
	b.ready()
	b.loop()
}

// admit registers a connection unless the limit is reached.
func (s *server) admit(b *backendConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.member.cfg.Connections || s.member.faults.crashed.Load() {
		s.refused++
		return false
	}
	s.nextPID++
	b.pid = s.nextPID
	s.conns[b] = true
	s.peak = max(s.peak, len(s.conns))
	return true
}

func (s *server) remove(b *backendConn) {
	b.end()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, b)
	for k, holder := range s.locks {
		if holder == b {
			delete(s.locks, k)
		}
	}
}

// lock takes a session-level advisory lock.
func (s *server) lock(key string, b *backendConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	holder, held := s.locks[key]
	if held {
		return holder == b
	}
	s.locks[key] = b
	return true
}

func (s *server) unlock(key string, b *backendConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.locks[key] != b {
		return false
	}
	delete(s.locks, key)
	return true
}

// terminate closes the connections whose application name begins with prefix
// and is not keep.
func (s *server) terminate(prefix, keep string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := false
	for c := range s.conns {
		if c.application != keep && strings.HasPrefix(c.application, prefix) {
			c.abort()
			found = true
		}
	}
	return found
}

// cancel stops the statement that a connection executes.
func (s *server) cancel(req *pgproto3.CancelRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.pid == req.ProcessID && c.secret == string(req.SecretKey) {
			c.cancelRunning()
		}
	}
}

// statementContext returns a context that cancel requests end.
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
