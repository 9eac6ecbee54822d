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

// defaultClass is the metrics label of requests without a class.
const defaultClass = "default"

// exchange is one request to an upstream and its answer. batch is nil for a simple
// query.
type exchange struct {
	kind      classify.Kind
	statement classify.Statement
	frames    []byte
	batch     *batch
}

// handleSync runs the collected batch.
func (s *session) handleSync() {
	b := s.batch
	s.batch = batch{}
	switch {
	case b.refusal != nil:
		s.sendError(b.refusal)
		return
	case len(b.frames) == 0:
		s.sendReady(nil)
		return
	case s.status == txFailed && s.pinnedTx == nil:
		s.answerInFailedTransaction(b.routingKind())
		return
	}
	if err := b.encode(&pgproto3.Sync{}); err != nil {
		s.sendError(outcome.Refuse(outcome.ProtocolViolation, "%v", err))
		return
	}
	s.run(exchange{kind: b.routingKind(), statement: b.statement, frames: b.frames, batch: &b})
}

// run sends a request to an upstream and the answer to the caller.
func (s *session) run(ex exchange) {
	req, refusal := s.request(ex)
	if refusal != nil {
		s.sendError(refusal)
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
	s.recordMetrics(req, resp, time.Since(started))
	s.answer(ex, resp)
}

func (s *session) send(ctx context.Context, req *request.Request) *request.Response {
	if s.pinnedTx != nil {
		req.TransactionID = s.pinnedTx.id
		return s.gateway.router.SendTo(ctx, s.pinnedTx.host, s.pinnedTx.upstream, req)
	}
	return s.gateway.router.Do(ctx, req)
}

// request builds the request of an exchange.
func (s *session) request(ex exchange) (*request.Request, *outcome.Refusal) {
	now := time.Now()
	req := &request.Request{
		Service: s.service, Team: s.team, Class: s.class, Frames: ex.frames,
		Deadline: now.Add(s.timeout),
	}
	if unknown := ex.statement.Hints.Unknown; len(unknown) > 0 {
		return nil, outcome.Refuse(outcome.ProtocolViolation, "the comment names %q; a hint is key or class", unknown[0])
	}
	if hinted := ex.statement.Hints.Class; hinted != "" {
		req.Class = hinted
	}
	if req.Class != "" {
		bound, found := s.gateway.config().Staleness(req.Class, s.service, now)
		if !found {
			return nil, outcome.Refuse(outcome.ProtocolViolation, "request class %q is not declared", req.Class)
		}
		req.MaxStaleness = bound
	}
	if ex.batch != nil && !ex.batch.hasExecute {
		// A description reads no data, so staleness does not matter.
		req.MaxStaleness = conf.MaxStaleness
	}
	req.MinPosition, _ = s.token.Position(s.service)
	req.NeedsPrimary, req.MayCommit = s.writeEffects(ex)
	return req, s.applyIdempotencyKey(ex, req)
}

// writeEffects reports whether an exchange needs the primary and whether it can
// commit a change.
func (s *session) writeEffects(ex exchange) (needsPrimary, mayCommit bool) {
	if s.pinnedTx != nil {
		return false, ex.statement.Count > 1 || (ex.kind == classify.End && ex.statement.Tokens[0] != "ROLLBACK" && ex.statement.Tokens[0] != "ABORT")
	}
	switch ex.kind {
	case classify.Read, classify.Show, classify.BeginRead:
		return false, false
	case classify.Begin:
		return true, false
	default:
		return true, true
	}
}

// applyIdempotencyKey sets the key of a write request from the statement's hint or
// the session, and clears the session's key.
func (s *session) applyIdempotencyKey(ex exchange, req *request.Request) *outcome.Refusal {
	key := ex.statement.Hints.Key
	if key == "" {
		key = s.idempotencyKey
	}
	if key == "" || !req.MayCommit || s.pinnedTx != nil {
		return nil
	}
	if ex.kind != classify.Write || ex.statement.Count != 1 {
		return outcome.Refuse(outcome.Unsupported, "an idempotency key covers one statement outside a transaction")
	}
	req.IdempotencyKey, s.idempotencyKey = key, ""
	return nil
}

func (s *session) recordMetrics(req *request.Request, resp *request.Response, total time.Duration) {
	code := outcome.OK
	if resp.Refusal != nil {
		code = resp.Refusal.Code
	}
	class := req.Class
	if class == "" {
		class = defaultClass
	}
	s.gateway.metrics.RecordRequest(s.team, s.service, class, code.String(), resp.QueueTime, resp.ServiceTime, total)
}

// answer sends the caller the result of an exchange.
func (s *session) answer(ex exchange, resp *request.Response) {
	if resp.Refusal != nil {
		s.answerRefusal(ex, resp.Refusal)
		return
	}
	s.updateTxState(resp)
	frames := resp.Frames
	if ex.batch != nil {
		frames = ex.batch.stripHidden(frames)
	}
	if resp.ForkCrossed {
		frames = encode(frames, forkNotice())
	}
	next, err := s.token.Advance(s.service, resp.Position)
	if err == nil && resp.TransactionID == 0 && !resp.Position.IsZero() {
		previous, _ := s.token.Position(s.service)
		s.token = next
		if previous.Less(resp.Position) {
			frames = encode(frames, &pgproto3.ParameterStatus{Name: tokenParameter, Value: next.Encode()})
		}
	}
	s.sendReady(frames)
}

// updateTxState updates the session's transaction state from a response.
func (s *session) updateTxState(resp *request.Response) {
	s.status = resp.TxStatus
	if resp.TransactionID == 0 {
		s.pinnedTx = nil
		return
	}
	if s.pinnedTx == nil {
		s.pinnedTx = &pinnedTransaction{host: resp.Host, upstream: resp.Upstream, id: resp.TransactionID}
	}
}

// answerRefusal sends an error. An open transaction is lost and stays failed until
// the caller ends it, unless the refused statement was to end it.
func (s *session) answerRefusal(ex exchange, refusal *outcome.Refusal) {
	if s.pinnedTx != nil {
		lost := s.pinnedTx
		s.pinnedTx = nil
		s.status = txFailed
		if refusal.Code == outcome.UnknownOutcome || ex.kind == classify.End {
			s.status = txIdle
		}
		go s.gateway.router.Release(lost.host, lost.upstream, lost.id)
	}
	s.sendError(refusal)
}

// forkNotice warns the caller that a failover discarded log entries that its
// session had observed.
func forkNotice() *pgproto3.NoticeResponse {
	return &pgproto3.NoticeResponse{
		Severity: "WARNING", SeverityUnlocalized: "WARNING", Code: "01000",
		Message: "a change of primary abandoned entries that this session had seen",
	}
}
