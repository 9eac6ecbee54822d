package edge

import (
	"context"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/rs/zerolog"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/session"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

// arrival is a message and when it was read.
type arrival struct {
	message statement.Message
	at      time.Duration
}

// caller is one caller's connection. A worker runs its messages one after the
// other; only the event loop reads from it.
type caller struct {
	gateway *Gateway
	conn    gnet.Conn
	// buf holds an incomplete message; it belongs to the event loop.
	buf []byte
	// ctx ends when the caller has hung up.
	ctx    context.Context
	cancel context.CancelFunc

	// mu guards the fields below.
	mu      sync.Mutex
	inbox   []arrival
	running bool
	closed  bool
	// restingSince is when the open transaction's last answer was sent; zero
	// while none rests.
	restingSince time.Duration

	// The fields below belong to the worker that runs the session, or to the
	// holder of mu while none does.
	state *session.Session
	// credential proves who the caller is; team is in whose name its newest
	// statement was admitted.
	credential catalog.Credential
	team       catalog.Team
	tx         *replicaset.Tx
}

func newCaller(g *Gateway, c gnet.Conn) *caller {
	s := &caller{gateway: g, conn: c}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// receive takes bytes of the caller. It runs on the event loop.
func (s *caller) receive(data []byte) error {
	s.buf = append(s.buf, data...)
	now := clock.Now()
	var got []arrival
	for {
		m, size, err := s.gateway.proto.Decode(s.buf)
		if err != nil {
			return err
		}
		if size == 0 {
			break
		}
		got = append(got, arrival{message: m, at: now})
		s.buf = s.buf[size:]
	}
	if len(s.buf) == 0 {
		s.buf = nil
	}
	if len(got) > 0 {
		s.enqueue(got)
	}
	return nil
}

func (s *caller) enqueue(got []arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inbox = append(s.inbox, got...)
	s.startWorker()
}

// startWorker runs the session unless a worker does already. It is called with
// mu held.
func (s *caller) startWorker() {
	if s.running {
		return
	}
	s.running = true
	if err := s.gateway.workers.Submit(s.work); err != nil {
		// The pool is closed: the host is stopping and the caller is cut.
		s.running = false
		_ = s.conn.Close()
	}
}

// work runs messages until there are none.
func (s *caller) work() {
	for {
		a, ok := s.next()
		if !ok {
			return
		}
		if !s.handle(a) {
			s.end()
		}
	}
}

// next takes the next message, or ends the worker's turn.
func (s *caller) next() (arrival, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		s.dropTx()
		s.inbox, s.running = nil, false
		return arrival{}, false
	}
	if len(s.inbox) == 0 {
		s.running = false
		if s.tx != nil {
			s.restingSince = clock.Now()
		}
		s.closeWhenDraining()
		return arrival{}, false
	}
	a := s.inbox[0]
	s.inbox = s.inbox[1:]
	s.restingSince = 0
	return a, true
}

// handle runs one message; it reports whether the session goes on.
func (s *caller) handle(a arrival) bool {
	switch a.message.Kind {
	case statement.Terminate:
		return false
	case statement.Login:
		return s.login(a.message)
	case statement.Query:
		if s.state == nil {
			s.send(s.gateway.proto.EncodeFatal(statement.Invalid, "a session starts with a login"))
			return false
		}
		s.query(a)
		return true
	default:
		s.gateway.note(eventlog.CallerViolation, func(l *zerolog.Event) {
			l.Str("remote", s.conn.RemoteAddr().String()).Str("reason", "the message is not known")
		})
		s.send(s.gateway.proto.EncodeFatal(statement.Invalid, "the message is not known"))
		return false
	}
}

// login starts the session on a database.
func (s *caller) login(m statement.Message) bool {
	if s.state != nil {
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
		s.gateway.note(eventlog.CallerRejected, func(l *zerolog.Event) {
			l.Str("database", m.Database).Uint64("version", c.Version).Str("reason", "unknown database")
		})
		s.send(s.gateway.proto.EncodeFatal(statement.UnknownDatabase, "no route has this name"))
		return false
	}
	credential := catalog.NewCredential(m.Key)
	team, admitted := c.Authorize(route, credential)
	if !admitted {
		s.gateway.note(eventlog.CallerRejected, func(l *zerolog.Event) {
			l.Str("database", m.Database).Str("key", credential.Fingerprint()).Uint64("version", c.Version).Str("reason", "unknown key")
		})
		s.send(s.gateway.proto.EncodeFatal(statement.Unauthorized, "no team holds this key"))
		return false
	}
	s.state, s.credential, s.team = session.New(m.Database), credential, team
	s.send(s.gateway.proto.EncodeWelcome())
	return true
}

func (s *caller) send(data []byte) {
	if err := s.conn.AsyncWrite(data, nil); err != nil {
		// The caller has hung up; OnClose ends the session.
		s.cancel()
	}
}

// end closes the connection after what was sent.
func (s *caller) end() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.closeAfterAnswers()
}

// closeAfterAnswers closes the connection once what was sent has left: an empty
// write queues the close behind the answers. It fails only when the connection
// is closed already.
func (s *caller) closeAfterAnswers() {
	_ = s.conn.AsyncWrite(nil, func(c gnet.Conn, _ error) error { return c.Close() })
}

// hangUp notes that the connection is gone. What runs goes on; nothing new is
// started, and an open transaction is rolled back.
func (s *caller) hangUp() {
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if !s.running {
		s.dropTx()
	}
}

// dropTx rolls the open transaction back. It is called with mu held and no
// statement running.
func (s *caller) dropTx() {
	if s.tx != nil {
		s.tx.Rollback()
		s.tx = nil
	}
}

// closeIfIdle closes a session that has nothing open or outstanding.
func (s *caller) closeIfIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.running {
		s.closeWhenDraining()
	}
}

// closeWhenDraining is called with mu held.
func (s *caller) closeWhenDraining() {
	if !s.gateway.draining.Load() || s.closed || len(s.inbox) > 0 {
		return
	}
	if s.state != nil && s.state.State != statement.Idle {
		return
	}
	s.closed = true
	s.closeAfterAnswers()
}

// abortResting ends a transaction that rests between statements. The caller
// learns of it with its next one.
func (s *caller) abortResting(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running || s.tx == nil {
		return
	}
	s.dropTx()
	s.state.AbortTransaction(reason)
}

// abortIdle ends a transaction that has rested since before the given time.
func (s *caller) abortIdle(before time.Duration) {
	s.mu.Lock()
	resting := s.restingSince
	s.mu.Unlock()
	if resting != 0 && resting < before {
		s.abortResting("the transaction was idle for too long")
	}
}
