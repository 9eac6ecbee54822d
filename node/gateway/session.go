package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/panjf2000/gnet/v2"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/membership"
	"github.com/dotterelswitch/dotterelswitch/core/outcome"
	"github.com/dotterelswitch/dotterelswitch/core/token"
)

// maxInbox bounds the messages that wait on one session.
const maxInbox = 4096

// transaction statuses of ReadyForQuery.
const (
	txIdle   byte = 'I'
	txOpen   byte = 'T'
	txFailed byte = 'E'
)

// session is one caller's connection.
type session struct {
	gateway *Gateway
	conn    gnet.Conn
	remote  string
	opened  time.Time
	pid     uint32
	secret  uint32
	started atomic.Bool
	// credential proves for whom the caller acts; awaitsKey tells that it was asked
	// for. They belong to the worker that runs the session.
	credential catalog.Credential
	awaitsKey  bool
	ctx        context.Context
	end        context.CancelFunc
	framer     framer

	// mu guards the fields below.
	mu        sync.Mutex
	inbox     []frame
	scheduled bool
	gone      bool
	cancelRun context.CancelFunc

	// The fields below belong to the worker that runs the session.
	service  string
	team     string
	class    string
	key      string
	token    token.Token
	timeout  time.Duration
	status   byte
	pin      *pin
	prepared map[string]preparedStatement
	batch    batch
	// teamCounted is guarded by Gateway.mu.
	teamCounted bool
}

// pin is the place of an open transaction.
type pin struct {
	host        membership.Host
	upstream    string
	transaction uint64
}

func newSession(g *Gateway, c gnet.Conn) *session {
	ctx, cancel := context.WithCancel(context.Background())
	return &session{
		gateway: g, conn: c, remote: c.RemoteAddr().String(), opened: time.Now(),
		ctx: ctx, end: cancel, framer: framer{limit: g.cfg.MaxMessage},
		status: txIdle, timeout: g.cfg.StatementTimeout,
		prepared: make(map[string]preparedStatement),
	}
}

// receive takes bytes from the event loop and queues complete messages.
func (s *session) receive(data []byte) *outcome.Refusal {
	frames, refusal := s.framer.feed(data)
	if refusal != nil {
		return refusal
	}
	if len(frames) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.inbox)+len(frames) > maxInbox {
		return outcome.Refuse(outcome.ProtocolViolation, "more than %d messages wait", maxInbox)
	}
	s.inbox = append(s.inbox, frames...)
	if s.scheduled {
		return nil
	}
	s.scheduled = true
	// Submit blocks while all workers are busy, so it must not run here on
	// the event loop.
	if s.gateway.workers.Free() > 0 {
		return submitRefusal(s.gateway.workers.Submit(s.work))
	}
	go func() { _ = s.gateway.workers.Submit(s.work) }()
	return nil
}

func submitRefusal(err error) *outcome.Refusal {
	if err == nil {
		return nil
	}
	return outcome.Refuse(outcome.Draining, "%v", err)
}

// work handles queued messages until none is left.
func (s *session) work() {
	s.gateway.busy.Add(1)
	defer s.gateway.busy.Add(-1)
	for {
		s.mu.Lock()
		if len(s.inbox) == 0 || s.gone {
			s.scheduled = false
			s.mu.Unlock()
			return
		}
		fr := s.inbox[0]
		s.inbox = s.inbox[1:]
		s.mu.Unlock()
		if !s.handle(fr) {
			s.finish()
			return
		}
	}
}

// finish ends a session from its worker.
func (s *session) finish() {
	s.flushAndClose()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone, s.scheduled = true, false
}

// write sends bytes to the caller.
func (s *session) write(buf []byte) { _ = s.conn.AsyncWrite(buf, nil) }

// flushAndClose closes the connection after what was written before.
func (s *session) flushAndClose() {
	_ = s.conn.AsyncWrite(nil, func(c gnet.Conn, _ error) error { return c.Close() })
}

// closed releases what the session holds once the connection is gone.
func (s *session) closed() {
	s.mu.Lock()
	s.gone = true
	s.mu.Unlock()
	s.end()
	go s.releasePin()
}

// releasePin rolls the open transaction back. It waits for a worker that
// still runs a statement of it.
func (s *session) releasePin() {
	const poll = 5 * time.Millisecond
	for {
		s.mu.Lock()
		running := s.scheduled
		s.mu.Unlock()
		if !running {
			break
		}
		time.Sleep(poll)
	}
	if s.pin != nil {
		s.gateway.router.Release(s.pin.host, s.pin.upstream, s.pin.transaction)
		s.pin = nil
	}
}

// cancelRequest ends the wait of the request in progress.
func (s *session) cancelRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelRun != nil {
		s.cancelRun()
	}
}

// closeIfIdle closes a session between requests and outside a transaction,
// telling the caller that the host leaves.
func (s *session) closeIfIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduled || s.gone || len(s.inbox) > 0 || s.status != txIdle {
		return
	}
	s.gone = true
	s.write(fatalMessage(outcome.Refuse(outcome.Draining, "the host is stopping")))
	s.flushAndClose()
}

// ready sends what follows every answer: a changed token and ReadyForQuery.
func (s *session) ready(buf []byte) {
	s.write(encode(buf, &pgproto3.ReadyForQuery{TxStatus: s.status}))
}

// refuse answers a request with an error.
func (s *session) refuse(r *outcome.Refusal) {
	s.ready(encode(nil, errorMessage(r, "ERROR")))
}
