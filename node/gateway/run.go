package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dotterelswitch/dotterelswitch/core/classify"
	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/core/outcome"
	"github.com/dotterelswitch/dotterelswitch/node/request"
)

// defaultClass labels the requests of sessions without a class.
const defaultClass = "default"

// work is one exchange with an upstream.
type work struct {
	kind      classify.Kind
	statement classify.Statement
	frames    []byte
	batch     *batch
}

// sync runs the collected batch.
func (s *session) sync() {
	b := s.batch
	s.batch = batch{}
	switch {
	case b.refusal != nil:
		s.refuse(b.refusal)
		return
	case len(b.frames) == 0:
		s.ready(nil)
		return
	case s.status == txFailed && s.pin == nil:
		s.inFailedTransaction(b.kindToRun())
		return
	}
	if err := b.encode(&pgproto3.Sync{}); err != nil {
		s.refuse(outcome.Refuse(outcome.ProtocolViolation, "%v", err))
		return
	}
	s.run(work{kind: b.kindToRun(), statement: b.statement, frames: b.frames, batch: &b})
}

// run sends one exchange to an upstream and its answer to the caller.
func (s *session) run(w work) {
	req, refusal := s.request(w)
	if refusal != nil {
		s.refuse(refusal)
		return
	}
	ctx, cancel := context.WithDeadline(s.ctx, req.Deadline)
	s.mu.Lock()
	s.cancelRun = cancel
	s.mu.Unlock()
	started := time.Now()
	resp := s.send(ctx, req)
	if resp.Refusal != nil && resp.Refusal.NotRun() && errors.Is(ctx.Err(), context.Canceled) {
		resp.Refusal = outcome.Refuse(outcome.Cancelled, "")
	}
	cancel()
	s.record(req, resp, time.Since(started))
	s.answer(w, resp)
}

func (s *session) send(ctx context.Context, req *request.Request) *request.Response {
	if s.pin != nil {
		req.Transaction = s.pin.transaction
		return s.gateway.router.SendTo(ctx, s.pin.host, s.pin.upstream, req)
	}
	return s.gateway.router.Do(ctx, req)
}

// request builds the request for one exchange.
func (s *session) request(w work) (*request.Request, *outcome.Refusal) {
	now := time.Now()
	req := &request.Request{
		Service: s.service, Team: s.team, Class: s.class, Frames: w.frames,
		Deadline: now.Add(s.timeout),
	}
	if unknown := w.statement.Hints.Unknown; len(unknown) > 0 {
		return nil, outcome.Refuse(outcome.ProtocolViolation, "the comment names %q; a hint is key or class", unknown[0])
	}
	if hinted := w.statement.Hints.Class; hinted != "" {
		req.Class = hinted
	}
	if req.Class != "" {
		bound, found := s.gateway.config().Staleness(req.Class, s.service, now)
		if !found {
			return nil, outcome.Refuse(outcome.ProtocolViolation, "request class %q is not declared", req.Class)
		}
		req.Staleness = bound
	}
	if w.batch != nil && !w.batch.executes {
		// A description reads no data.
		req.Staleness = conf.MaxStaleness
	}
	req.Token, _ = s.token.Position(s.service)
	req.Write, req.MayCommit = s.effects(w)
	return req, s.takeKey(w, req)
}

// effects tells whether an exchange needs the primary and whether it can have
// an effect that lasts.
func (s *session) effects(w work) (needsPrimary, mayCommit bool) {
	if s.pin != nil {
		return false, w.statement.Count > 1 || (w.kind == classify.End && w.statement.Words[0] != "ROLLBACK" && w.statement.Words[0] != "ABORT")
	}
	switch w.kind {
	case classify.Read, classify.Show, classify.BeginRead:
		return false, false
	case classify.Begin:
		return true, false
	default:
		return true, true
	}
}

// takeKey moves the idempotency key to the write that it is meant for.
func (s *session) takeKey(w work, req *request.Request) *outcome.Refusal {
	key := w.statement.Hints.Key
	if key == "" {
		key = s.key
	}
	if key == "" || !req.MayCommit || s.pin != nil {
		return nil
	}
	if w.kind != classify.Write || w.statement.Count != 1 {
		return outcome.Refuse(outcome.Unsupported, "an idempotency key covers one statement outside a transaction")
	}
	req.Key, s.key = key, ""
	return nil
}

func (s *session) record(req *request.Request, resp *request.Response, whole time.Duration) {
	code := outcome.OK
	if resp.Refusal != nil {
		code = resp.Refusal.Code
	}
	class := req.Class
	if class == "" {
		class = defaultClass
	}
	s.gateway.metrics.Request(s.team, class, code.String(), resp.Queue, resp.Service, whole)
}

// answer gives the caller the outcome of an exchange.
func (s *session) answer(w work, resp *request.Response) {
	if resp.Refusal != nil {
		s.answerRefusal(w, resp.Refusal)
		return
	}
	s.follow(resp)
	frames := resp.Frames
	if w.batch != nil {
		frames = w.batch.visible(frames)
	}
	if resp.ForkCrossed {
		frames = encode(frames, forkNotice())
	}
	next, err := s.token.Advance(s.service, resp.Position)
	if err == nil && resp.Transaction == 0 && !resp.Position.IsZero() {
		old, _ := s.token.Position(s.service)
		s.token = next
		if old.Less(resp.Position) {
			frames = encode(frames, &pgproto3.ParameterStatus{Name: tokenParameter, Value: next.Encode()})
		}
	}
	s.ready(frames)
}

// follow keeps the session's transaction state in step with the upstream's.
func (s *session) follow(resp *request.Response) {
	s.status = resp.TxStatus
	if resp.Transaction == 0 {
		s.pin = nil
		return
	}
	if s.pin == nil {
		s.pin = &pin{host: resp.Host, upstream: resp.Upstream, transaction: resp.Transaction}
	}
}

// answerRefusal gives an error. A transaction that was lost stays failed until
// the caller ends it, unless the error was on its end.
func (s *session) answerRefusal(w work, refusal *outcome.Refusal) {
	if s.pin != nil {
		lost := s.pin
		s.pin = nil
		s.status = txFailed
		if refusal.Code == outcome.UnknownOutcome || w.kind == classify.End {
			s.status = txIdle
		}
		go s.gateway.router.Release(lost.host, lost.upstream, lost.transaction)
	}
	s.refuse(refusal)
}

// forkNotice tells the caller that entries which it had seen were abandoned.
func forkNotice() *pgproto3.NoticeResponse {
	return &pgproto3.NoticeResponse{
		Severity: "WARNING", SeverityUnlocalized: "WARNING", Code: "01000",
		Message: "a change of primary abandoned entries that this session had seen",
	}
}
