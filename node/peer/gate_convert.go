package peer

import (
	"errors"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/gateload"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/outlier"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/peer/peerpb"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

// Values of JobResponse.failure.
const (
	failureNone uint32 = iota
	failureRefused
	failureBroken
	failureTimeout
	failureMemberDead
)

// remainingMicros converts a deadline on this host's clock into the remaining
// time in microseconds.
func remainingMicros(at, now time.Duration) int64 { return (at - now).Microseconds() }

func jobToProto(service string, j replicaset.Job) *peerpb.JobRequest {
	now := clock.Now()
	req := j.Request
	return &peerpb.JobRequest{
		Kind: uint32(j.Kind), Service: service, Upstream: j.Member,
		Statement: &peerpb.JobStatement{
			Kind: uint32(req.Statement.Kind), Id: req.Statement.ID, Text: req.Statement.Text, Value: req.Statement.Value,
			ShapeWrite: req.Statement.Shape.Write, Shape: req.Statement.Shape.Text,
		},
		Values: req.Values, Committed: peerpb.FromPosition(req.LastCommit),
		Consistency: uint32(req.Route.Consistency), MaxStalenessUs: req.Route.MaxStaleness.Microseconds(),
		Priority: int32(req.Route.Priority), Floor: peerpb.FromPosition(j.Floor), Plain: j.RequirePrimary, Wrote: j.Wrote,
		Transaction: j.Tx, Owner: j.Owner, Team: req.Team,
		AimUs: remainingMicros(req.TargetDeadline, now), StartUs: remainingMicros(req.StartDeadline, now), EndUs: remainingMicros(req.Deadline, now),
		FreshUs: remainingMicros(req.OnTimeUntil, now), AttemptUs: req.AttemptTimeout.Microseconds(),
		IgnoreEjection: j.IgnoreEjection,
	}
}

// knownJob reports whether this version knows all kinds in a job. Another kind could stand
// for a statement that this host would run as something else.
func knownJob(p *peerpb.JobRequest) bool {
	return replicaset.KnownJobKind(p.GetKind()) && statement.KnownKind(p.GetStatement().GetKind()) && catalog.KnownConsistency(p.GetConsistency())
}

func jobFromProto(p *peerpb.JobRequest) replicaset.Job {
	now := clock.Now()
	at := func(us int64) time.Duration { return now + time.Duration(us)*time.Microsecond }
	st := p.GetStatement()
	return replicaset.Job{
		Kind: replicaset.JobKind(p.GetKind()), Member: p.GetUpstream(),
		Floor: peerpb.ToPosition(p.GetFloor()), RequirePrimary: p.GetPlain(), Wrote: p.GetWrote(),
		Tx: p.GetTransaction(), Owner: p.GetOwner(), IgnoreEjection: p.GetIgnoreEjection(),
		Request: replicaset.Request{
			Statement: statement.Statement{
				Kind: statement.Kind(st.GetKind()), ID: st.GetId(), Text: st.GetText(), Value: st.GetValue(),
				Shape: statement.Shape{Write: st.GetShapeWrite(), Text: st.GetShape()},
			},
			Values: p.GetValues(), LastCommit: peerpb.ToPosition(p.GetCommitted()), Team: p.GetTeam(),
			Route: catalog.Route{
				Service: p.GetService(), Consistency: catalog.Consistency(p.GetConsistency()),
				MaxStaleness: time.Duration(p.GetMaxStalenessUs()) * time.Microsecond, Priority: int(p.GetPriority()),
			},
			Received: now, TargetDeadline: at(p.GetAimUs()), StartDeadline: at(p.GetStartUs()), Deadline: at(p.GetEndUs()),
			OnTimeUntil: at(p.GetFreshUs()), AttemptTimeout: time.Duration(p.GetAttemptUs()) * time.Microsecond,
		},
	}
}

func resultToProto(r replicaset.Result) *peerpb.JobResponse {
	now := clock.Now()
	out := &peerpb.JobResponse{
		Rows: r.Answer.Rows, Signature: r.Answer.Signature, Code: uint32(r.Answer.Code), Detail: r.Answer.Detail,
		State: uint32(r.Answer.State), Position: peerpb.FromPosition(r.Answer.Position),
		Handed: r.StatementMayHaveRun, Proof: r.ConfirmsPrimary, Transaction: r.Tx, WaitedUs: r.Waited.Microseconds(),
		Floor: floorToProto(r.Floor, now), Load: loadToProto(r.Load), Ejection: ejectionToProto(r.Ejection, now),
	}
	var refused *replicaset.RefusedError
	var noResponse *replicaset.NoResponseError
	var connectErr *replicaset.ConnectError
	switch {
	case r.Err == nil:
		return out
	case errors.As(r.Err, &refused) && refused.MemberDead:
		out.Failure = failureMemberDead
	case errors.As(r.Err, &refused):
		out.Failure, out.RetryAfterUs = failureRefused, refused.RetryAfter.Microseconds()
	case errors.As(r.Err, &noResponse) && noResponse.TimedOut:
		out.Failure = failureTimeout
	case errors.As(r.Err, &connectErr):
		out.Failure = failureRefused
	default:
		out.Failure = failureBroken
	}
	out.Reason = r.Err.Error()
	return out
}

// floorToProto encodes a floor with the age of its position instead of a time.
func floorToProto(f replicaset.Floor, now time.Duration) *peerpb.Floor {
	if f.Position.IsZero() && f.Mark.Member == "" {
		return nil
	}
	return &peerpb.Floor{
		Term: uint64(f.Position.Term), Offset: uint64(f.Position.Offset),
		AgeUs: uint64((now - f.AsOf).Microseconds()), Primary: f.Leadership.Primary, LeadTerm: uint64(f.Leadership.Term),
		Mark: peerpb.FromLogMark(f.Mark),
	}
}

// floorFromProto decodes a floor from the answer to a request sent at the given
// time.
func floorFromProto(p *peerpb.Floor, sentAt time.Duration) replicaset.Floor {
	if p == nil {
		return replicaset.Floor{}
	}
	position := logpos.Position{Term: logpos.Term(p.GetTerm()), Offset: logpos.Offset(p.GetOffset())}
	lead := replicaset.Leadership{Primary: p.GetPrimary(), Term: logpos.Term(p.GetLeadTerm())}
	floor := replicaset.FloorFromAge(position, lead, time.Duration(p.GetAgeUs())*time.Microsecond, sentAt)
	floor.Mark = peerpb.ToLogMark(p.GetMark())
	return floor
}

func loadToProto(r *gateload.Report) *peerpb.GateLoad {
	if r == nil {
		return nil
	}
	out := &peerpb.GateLoad{Running: uint32(r.Running), Capacity: uint32(r.Capacity), Waiting: uint32(r.Waiting)}
	for _, wait := range r.ExpectedWait {
		out.WaitUs = append(out.WaitUs, uint32(wait.Microseconds()))
	}
	return out
}

// loadFromProto decodes the load of a gate, which may be invalid.
func loadFromProto(p *peerpb.GateLoad) *gateload.Report {
	if p == nil {
		return nil
	}
	out := &gateload.Report{Running: int(p.GetRunning()), Capacity: int(p.GetCapacity()), Waiting: int(p.GetWaiting())}
	for _, us := range p.GetWaitUs() {
		out.ExpectedWait = append(out.ExpectedWait, time.Duration(us)*time.Microsecond)
	}
	return out
}

// ejectionToProto encodes a verdict with its remaining validity.
func ejectionToProto(e outlier.Ejection, now time.Duration) *peerpb.Ejection {
	if !e.Active(now) {
		return nil
	}
	return &peerpb.Ejection{Cause: uint32(e.Cause), RemainingUs: remainingMicros(e.Until, now)}
}

// ejectionFromProto decodes a verdict from the answer to a request sent at the given
// time, so that it is valid no longer than on the other host. An invalid one is no
// verdict.
func ejectionFromProto(p *peerpb.Ejection, sentAt time.Duration) outlier.Ejection {
	us := p.GetRemainingUs()
	if us <= 0 || us > outlier.MaxRemaining.Microseconds() {
		return outlier.Ejection{}
	}
	return outlier.Ejection{Cause: outlier.DecodeCause(p.GetCause()), Until: sentAt + time.Duration(us)*time.Microsecond}
}

// resultFromProto decodes the answer to a job sent at the given time.
func resultFromProto(p *peerpb.JobResponse, sentAt time.Duration) replicaset.Result {
	r := replicaset.Result{
		Answer: statement.Answer{
			Rows: p.GetRows(), Signature: p.GetSignature(), Code: statement.DecodeCode(p.GetCode()), Detail: p.GetDetail(),
			State: statement.TxState(p.GetState()), Position: peerpb.ToPosition(p.GetPosition()),
		},
		StatementMayHaveRun: p.GetHanded(), ConfirmsPrimary: p.GetProof(), Tx: p.GetTransaction(),
		Waited: time.Duration(p.GetWaitedUs()) * time.Microsecond, Floor: floorFromProto(p.GetFloor(), sentAt),
		Load: loadFromProto(p.GetLoad()), Ejection: ejectionFromProto(p.GetEjection(), sentAt),
	}
	switch p.GetFailure() {
	case failureNone:
	case failureMemberDead:
		r.Err = &replicaset.RefusedError{Reason: p.GetReason(), MemberDead: true}
	case failureRefused:
		r.Err = &replicaset.RefusedError{Reason: p.GetReason(), RetryAfter: time.Duration(p.GetRetryAfterUs()) * time.Microsecond}
	default:
		r.Err = &replicaset.NoResponseError{TimedOut: p.GetFailure() == failureTimeout, Err: errors.New(p.GetReason())}
	}
	return r
}
