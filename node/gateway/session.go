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

// maxInbox bounds the queued messages of one session.
const maxInbox = 4096

// Transaction statuses of ReadyForQuery.
const (
	txIdle   byte = 'I'
	txOpen   byte = 'T'
	txFailed byte = 'E'
)

// session is one caller's connection.
type session struct {
	gateway     *Gateway
	conn        gnet.Conn
	remote      string
	connectedAt time.Time
	pid         uint32
	secret      uint32
	started     atomic.Bool
	// credential is the key given at login; awaitingPassword is set from the
	// request for it to its arrival. Only the running worker accesses them.
	credential       catalog.Credential
	awaitingPassword bool
	// ctx is cancelled when the caller disconnects.
	ctx    context.Context
	cancel context.CancelFunc
	// framer is accessed by the event loop only.
	framer framer

	// mu guards the fields below.
	mu    sync.Mutex
	inbox []frame
	// scheduled is set while a worker runs or is about to run.
	scheduled bool
	closed    bool
	// cancelRun cancels the running request.
	cancelRun context.CancelFunc

	// Only the running worker accesses the fields below.
	service        string
	team           string
	class          string
	idempotencyKey string
	token          token.Token
	timeout        time.Duration
	status         byte
	pinnedTx       *pinnedTransaction
	prepared       map[string]preparedStatement
	batch          batch
	// teamCounted is guarded by Gateway.mu.
	teamCounted bool
}

// pinnedTransaction identifies an open transaction and where it runs.
type pinnedTransaction struct {
	host     membership.Host
	upstream string
	id       uint64
}

func newSession(g *Gateway, c gnet.Conn) *session {
	ctx, cancel := context.WithCancel(context.Background())
	return &session{
		gateway: g, conn: c, remote: c.RemoteAddr().String(), connectedAt: time.Now(),
		ctx: ctx, cancel: cancel, framer: framer{limit: g.cfg.MaxMessage},
		status: txIdle, timeout: g.cfg.StatementTimeout,
		prepared: make(map[string]preparedStatement),
	}
}

// receive frames bytes from the event loop and queues the complete messages.
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
	// Submit blocks while all workers are busy, which must not block the event
	// loop.
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

// work processes queued messages until none is left.
func (s *session) work() {
	s.gateway.activeWorkers.Add(1)
	defer s.gateway.activeWorkers.Add(-1)
	for {
		s.mu.Lock()
		if len(s.inbox) == 0 || s.closed {
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

// finish closes the connection and ends the worker.
func (s *session) finish() {
	s.flushAndClose()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed, s.scheduled = true, false
}

func (s *session) write(buf []byte) { _ = s.conn.AsyncWrite(buf, nil) }

// flushAndClose closes the connection once pending writes have been sent.
func (s *session) flushAndClose() {
	_ = s.conn.AsyncWrite(nil, func(c gnet.Conn, _ error) error { return c.Close() })
}

// onDisconnect cancels the running request and rolls back an open transaction.
func (s *session) onDisconnect() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	go s.releasePinnedTx()
}

// releasePinnedTx rolls back the open transaction once no worker is running.
func (s *session) releasePinnedTx() {
	const pollInterval = 5 * time.Millisecond
	for {
		s.mu.Lock()
		running := s.scheduled
		s.mu.Unlock()
		if !running {
			break
		}
		time.Sleep(pollInterval)
	}
	if s.pinnedTx != nil {
		s.gateway.router.Release(s.pinnedTx.host, s.pinnedTx.upstream, s.pinnedTx.id)
		s.pinnedTx = nil
	}
}

// cancelRequest cancels the running request.
func (s *session) cancelRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelRun != nil {
		s.cancelRun()
	}
}

// closeIfIdle closes a session that has no pending message and no open
// transaction, with an error that says that the host is stopping.
func (s *session) closeIfIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduled || s.closed || len(s.inbox) > 0 || s.status != txIdle {
		return
	}
	s.closed = true
	s.write(fatalMessage(outcome.Refuse(outcome.Draining, "the host is stopping")))
	s.flushAndClose()
}

// sendReady sends buf followed by ReadyForQuery.
func (s *session) sendReady(buf []byte) {
	s.write(encode(buf, &pgproto3.ReadyForQuery{TxStatus: s.status}))
}

// sendError answers a request with an error.
func (s *session) sendError(r *outcome.Refusal) {
	s.sendReady(encode(nil, errorMessage(r, "ERROR")))
}
