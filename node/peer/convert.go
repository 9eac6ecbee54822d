package peer

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/outcome"
	"github.com/dotterelswitch/dotterelswitch/node/peer/peerpb"
	"github.com/dotterelswitch/dotterelswitch/node/request"
)

func requestToProto(r *request.Request) *peerpb.ExecuteRequest {
	mode := peerpb.Mode_MODE_READ
	if r.NeedsPrimary {
		mode = peerpb.Mode_MODE_WRITE
	}
	return &peerpb.ExecuteRequest{
		RequestId: r.ID, Sender: r.Sender, Service: r.Service, Upstream: r.Upstream,
		Team: r.Team, Class: r.Class, Mode: mode,
		DeadlineUs: time.Until(r.Deadline).Microseconds(),
		Frames:     r.Frames, Token: peerpb.FromPosition(r.MinPosition),
		StalenessUs: r.MaxStaleness.Microseconds(), Transaction: r.TransactionID,
		Key: r.IdempotencyKey, WaitUs: r.CatchUpWait.Microseconds(), MayCommit: r.MayCommit,
	}
}

func requestFromProto(m *peerpb.ExecuteRequest) *request.Request {
	return &request.Request{
		ID: m.GetRequestId(), Sender: m.GetSender(), Service: m.GetService(), Upstream: m.GetUpstream(),
		Team: m.GetTeam(), Class: m.GetClass(), NeedsPrimary: m.GetMode() == peerpb.Mode_MODE_WRITE,
		Deadline: time.Now().Add(microseconds(m.GetDeadlineUs())),
		Frames:   m.GetFrames(), MinPosition: peerpb.ToPosition(m.GetToken()),
		MaxStaleness: microseconds(m.GetStalenessUs()), TransactionID: m.GetTransaction(),
		IdempotencyKey: m.GetKey(), CatchUpWait: microseconds(m.GetWaitUs()), MayCommit: m.GetMayCommit(),
	}
}

func responseToProto(r *request.Response) *peerpb.ExecuteResponse {
	m := &peerpb.ExecuteResponse{
		Frames: r.Frames, TxStatus: uint32(r.TxStatus), Position: peerpb.FromPosition(r.Position),
		Transaction: r.TransactionID, ForkCrossed: r.ForkCrossed, Hint: hintToProto(r.Hint),
		QueueUs: r.QueueTime.Microseconds(), ServiceUs: r.ServiceTime.Microseconds(),
	}
	if r.Refusal != nil {
		m.Refusal = uint32(r.Refusal.Code)
		m.Detail = r.Refusal.Detail
		m.RetryAfterUs = r.Refusal.RetryAfter.Microseconds()
	}
	return m
}

func responseFromProto(m *peerpb.ExecuteResponse) *request.Response {
	r := &request.Response{
		Frames: m.GetFrames(), TxStatus: byte(m.GetTxStatus()), Position: peerpb.ToPosition(m.GetPosition()),
		TransactionID: m.GetTransaction(), ForkCrossed: m.GetForkCrossed(), Hint: hintFromProto(m.GetHint()),
		QueueTime: microseconds(m.GetQueueUs()), ServiceTime: microseconds(m.GetServiceUs()),
	}
	if m.GetRefusal() != 0 {
		r.Refusal = &outcome.Refusal{
			Code: outcome.DecodeCode(m.GetRefusal()), Detail: m.GetDetail(), RetryAfter: microseconds(m.GetRetryAfterUs()),
		}
	}
	return r
}

func hintToProto(h request.Hint) *peerpb.Hint {
	m := &peerpb.Hint{Primary: h.Primary, Term: uint64(h.Term)}
	for _, x := range h.Members {
		m.Members = append(m.Members, &peerpb.MemberHint{
			Name: x.Name, Applied: peerpb.FromPosition(x.Applied), AgeUs: x.Age.Microseconds(),
		})
	}
	return m
}

func hintFromProto(m *peerpb.Hint) request.Hint {
	h := request.Hint{Primary: m.GetPrimary(), Term: logpos.Term(m.GetTerm())}
	for _, x := range m.GetMembers() {
		h.Members = append(h.Members, request.MemberHint{
			Name: x.GetName(), Applied: peerpb.ToPosition(x.GetApplied()), Age: microseconds(x.GetAgeUs()),
		})
	}
	return h
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
