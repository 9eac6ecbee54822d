package edge

import (
	"context"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/rs/zerolog"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/session"
	"github.com/dotterelswitch/dotterelswitch/core/shutdown"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

// receivedMessage is a message with the time at which it was read.
type receivedMessage struct {
	message    statement.Message
	receivedAt time.Duration
}

// caller is one caller's connection. The event loop reads it; at most one worker
// at a time processes its messages, in order.
type caller struct {
	gateway *Gateway
	conn    gnet.Conn
	// buf holds an incomplete message. Only the event loop accesses it.
	buf []byte
	// unreadable is set once the start of the next message is unknown; what follows is
	// dropped. Only the event loop accesses it.
	unreadable bool
	// ctx is cancelled when the caller disconnects.
	ctx    context.Context
	cancel context.CancelFunc

	// mu guards the fields below.
	mu      sync.Mutex
	inbox   []receivedMessage
	running bool
	closed  bool
	// restingSince is since when the session waits for no answer, while no worker is running.
	restingSince time.Duration

	// Only the running worker accesses the fields below; while none is running, mu
	// guards them.
	session *session.Session
	// credential is the key given at login; team is the team that it belonged to
	// when it was last checked.
	credential catalog.Credential
	team       catalog.Team
	tx         *replicaset.Tx
}

func newCaller(g *Gateway, c gnet.Conn) *caller {
	s := &caller{gateway: g, conn: c, restingSince: clock.Now()}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// receive decodes and queues bytes from the caller. It runs on the event loop.
func (s *caller) receive(data []byte) {
	if s.unreadable {
		return
	}
	s.buf = append(s.buf, data...)
	now := clock.Now()
	var received []receivedMessage
	for !s.unreadable {
		m, size, err := s.gateway.proto.Decode(s.buf)
		if err != nil {
			// The messages before it are answered first.
			s.unreadable = true
			m, size = statement.Message{Kind: statement.UnknownMessage, Code: statement.TooLarge, Problem: err.Error()}, len(s.buf)
		}
		if size == 0 {
			break
		}
		received = append(received, receivedMessage{message: m, receivedAt: now})
		s.buf = s.buf[size:]
	}
	if len(s.buf) == 0 {
		s.buf = nil
	}
	if len(received) > 0 {
		s.enqueue(received)
	}
}

func (s *caller) enqueue(messages []receivedMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inbox = append(s.inbox, messages...)
	s.startWorker()
}

// startWorker starts a worker for the session unless one is running. mu must be
// held.
func (s *caller) startWorker() {
	if s.running {
		return
	}
	s.running = true
	if err := s.gateway.workers.Submit(s.work); err != nil {
		// The pool is closed because the host is stopping.
		s.running = false
		_ = s.conn.Close()
	}
}

// work processes messages until the inbox is empty.
func (s *caller) work() {
	for {
		m, ok := s.next()
		if !ok {
			return
		}
		if !s.handle(m) {
			s.close()
		}
	}
}

// next dequeues a message. It returns false, and marks the worker as finished, if
// there is none or the connection is closed.
func (s *caller) next() (receivedMessage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		s.rollbackTxLocked()
		s.inbox, s.running = nil, false
		return receivedMessage{}, false
	}
	if len(s.inbox) == 0 {
		s.running = false
		s.restingSince = clock.Now()
		s.applyStopLocked()
		return receivedMessage{}, false
	}
	m := s.inbox[0]
	s.inbox = s.inbox[1:]
	return m, true
}

// handle processes one message. It reports whether the session continues.
func (s *caller) handle(m receivedMessage) bool {
	switch m.message.Kind {
	case statement.Terminate:
		return false
	case statement.Login:
		return s.login(m.message)
	case statement.Query:
		if s.session == nil {
			s.send(s.gateway.proto.EncodeFatal(statement.Invalid, "a session starts with a login"))
			return false
		}
		s.handleQuery(m)
		return true
	default:
		s.gateway.logLimited(eventlog.CallerViolation, func(l *zerolog.Event) {
			l.Stringer("remote", remoteAddr{s.conn}).Str("reason", m.message.Problem)
		})
		s.send(s.gateway.proto.EncodeFatal(m.message.Code, m.message.Problem))
		return false
	}
}

// login authenticates the caller and opens the session on a database.
func (s *caller) login(m statement.Message) bool {
	if s.session != nil {
		s.send(s.gateway.proto.EncodeFatal(statement.Invalid, "the session has started already"))
		return false
	}
	c := s.gateway.backend.AwaitCatalog(s.ctx)
	if c == nil {
		s.send(s.gateway.proto.EncodeFatal(statement.Busy, "the host has no configuration yet"))
		return false
	}
	route, found := c.Route(m.Database)
	if !found {
		s.gateway.logLimited(eventlog.CallerRejected, func(l *zerolog.Event) {
			l.Str("database", eventlog.Text(m.Database)).Uint64("version", c.Version).Str("reason", "unknown database")
		})
		s.send(s.gateway.proto.EncodeFatal(statement.UnknownDatabase, "no route has this name"))
		return false
	}
	credential := catalog.NewCredential(m.Key)
	team, authorized := c.Authorize(route, credential)
	if !authorized {
		s.gateway.logLimited(eventlog.CallerRejected, func(l *zerolog.Event) {
			l.Str("database", eventlog.Text(m.Database)).Str("key", credential.Fingerprint()).Uint64("version", c.Version).Str("reason", "unknown key")
		})
		s.send(s.gateway.proto.EncodeFatal(statement.Unauthorized, "no team holds this key"))
		return false
	}
	s.session, s.credential, s.team = session.New(m.Database), credential, team
	s.send(s.gateway.proto.EncodeWelcome())
	return true
}

func (s *caller) send(data []byte) {
	if err := s.conn.AsyncWrite(data, nil); err != nil {
		// The connection is closed; OnClose ends the session.
		s.cancel()
	}
}

// close closes the connection once pending answers have been written.
func (s *caller) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.flushAndClose()
}

// flushAndClose closes the connection once pending answers have been written: an
// empty write queues the close behind them. It fails only if the connection is
// already closed.
func (s *caller) flushAndClose() {
	_ = s.conn.AsyncWrite(nil, func(c gnet.Conn, _ error) error { return c.Close() })
}

// onDisconnect handles the loss of the connection. A running statement completes,
// no further one is started, and an open transaction is rolled back.
func (s *caller) onDisconnect() {
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if !s.running {
		s.rollbackTxLocked()
	}
}

// rollbackTxLocked rolls back the open transaction. mu must be held and no
// statement may be running.
func (s *caller) rollbackTxLocked() {
	if s.tx != nil {
		s.tx.Rollback()
		s.tx = nil
	}
}

// applyStop ends the session or its transaction if the host's stop has come that far. A
// session whose statement is at work is looked at when the statement has been answered.
func (s *caller) applyStop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.running {
		s.applyStopLocked()
	}
}

// applyStopLocked is applyStop with mu held, between two statements.
func (s *caller) applyStopLocked() {
	plan := s.gateway.stop.Load()
	if plan == nil || s.closed {
		return
	}
	state := statement.Idle
	if s.session != nil {
		state = s.session.State
	}
	switch plan.BetweenStatements(state, s.restingSince, clock.Now()) {
	case shutdown.Keep:
	case shutdown.Abort:
		s.abortTxLocked(reasonStopping)
	case shutdown.Close:
		s.closed = true
		s.rollbackTxLocked()
		s.flushAndClose()
	}
}

// reasonStopping is the detail of refusals during a stop.
const reasonStopping = "the host is stopping"

// abortTxLocked rolls back a transaction between two statements. The caller gets an error
// in answer to its next statement. mu must be held.
func (s *caller) abortTxLocked(reason string) {
	s.rollbackTxLocked()
	s.session.AbortTransaction(reason)
}

// abortTxIdleSince rolls back a transaction that has been idle since before the
// given time.
func (s *caller) abortTxIdleSince(before time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.running && s.tx != nil && s.restingSince < before {
		s.abortTxLocked("the transaction was idle for too long")
	}
}
