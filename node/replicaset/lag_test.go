package replicaset

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/directory"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// delayedReplicaRemote simulates the gates of an overloaded primary and of a
// replica that applies its log with a delay.
type delayedReplicaRemote struct {
	startedAt time.Duration
	// applyDelay is how far the replica lags. The primary commits once per
	// millisecond.
	applyDelay time.Duration
	// reportFloor makes the primary's gate add the latest floor to its
	// refusals.
	reportFloor bool
	// onPrimary and onReplica count the jobs by member.
	onPrimary, onReplica int
}

func (r *delayedReplicaRemote) position(at time.Duration) logpos.Position {
	return logpos.Position{Term: 1, Offset: logpos.Offset(1000 + (at-r.startedAt)/time.Millisecond)}
}

func (r *delayedReplicaRemote) Run(_ context.Context, _, _ string, j Job) Result {
	if j.Member == "primary" {
		r.onPrimary++
		res := Result{Err: &RefusedError{Reason: "too many statements wait for the member", RetryAfter: time.Second}}
		if r.reportFloor {
			res.Floor = Floor{Position: r.position(clock.Now()), AsOf: clock.Now(), Leadership: Leadership{Primary: "primary", Term: 1}}
		}
		return res
	}
	if j.Floor.IsZero() {
		return Result{Err: errNoFloor}
	}
	r.onReplica++
	position := r.position(clock.Now() - r.applyDelay)
	if position.Less(j.Floor) {
		return Result{Answer: statement.Answer{Code: statement.Behind, Position: position}}
	}
	return Result{Answer: statement.Answer{Code: statement.OK, Signature: "s", Position: position}, Tx: 1}
}

func (r *delayedReplicaRemote) Alive(context.Context, string) bool { return true }

func (*delayedReplicaRemote) Drop(string) {}

// setWithLaggingReplica returns a set with an overloaded primary, a lagging
// replica and the floors of the last 900 ms.
func setWithLaggingReplica(r *delayedReplicaRemote) *Set {
	s := New(Config{Service: "svc", Remote: r, Host: "h0", Log: zerolog.Nop()})
	hosts := []gates.Host{{Name: "h0", Zone: "far", Address: "a0"}, {Name: "h1", Zone: "near", Address: "a1"}, {Name: "h2", Zone: "near", Address: "a2"}}
	entry := func(id string) directory.Member {
		return directory.Member{Entry: directory.Entry{ID: id, Service: "svc", Zone: "near", Slots: 2}}
	}
	s.Update([]directory.Member{entry("primary"), entry("replica")}, catalog.Service{MaxConnections: 16}, gates.NewFleet(hosts, nil))
	for at := r.startedAt - 900*time.Millisecond; at <= r.startedAt; at += 20 * time.Millisecond {
		s.ObserveFloor(Floor{Position: r.position(at), AsOf: at, Leadership: Leadership{Primary: "primary", Term: 1}})
	}
	return s
}

// boundedRead500ms returns a read with a staleness bound of 500 ms and the
// given time to start.
func boundedRead500ms(startWithin time.Duration) Request {
	now := clock.Now()
	return Request{
		Statement: statement.Statement{Kind: statement.Read, ID: "r"}, ReadOnly: true,
		Route:    catalog.Route{Consistency: catalog.BoundedStaleness, MaxStaleness: 500 * time.Millisecond},
		Received: now, TargetDeadline: now + 100*time.Millisecond, OnTimeUntil: now + 50*time.Millisecond,
		StartDeadline: now + startWithin, Deadline: now + startWithin + time.Second,
	}
}

// TestReadWaitsForReplicaToCatchUp checks that a read of the caller's own
// commit waits for a lagging replica while the primary is overloaded, instead
// of polling it.
func TestReadWaitsForReplicaToCatchUp(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(*Set, Request) Outcome
	}{
		{"read", func(s *Set, req Request) Outcome { return s.Read(context.Background(), req) }},
		{"begin", func(s *Set, req Request) Outcome {
			tx, out := s.Begin(context.Background(), req)
			require.NotNil(t, tx)
			return out
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &delayedReplicaRemote{startedAt: clock.Now(), applyDelay: 300 * time.Millisecond}
			req := boundedRead500ms(2 * time.Second)
			req.LastCommit = r.position(r.startedAt)
			out := c.run(setWithLaggingReplica(r), req)
			require.Equal(t, statement.OK, out.Answer.Code, out.Cause)
			require.Equal(t, "replica", out.Member)
			require.Positive(t, out.ReplicaWait)
			require.Equal(t, 1, r.onPrimary)
			require.LessOrEqual(t, r.onReplica, 4)
		})
	}
}

// TestReadRefusedImmediatelyWhenNoReplicaCatchesUp guards against delaying a
// refusal for a replica that cannot reach the floor in time.
func TestReadRefusedImmediatelyWhenNoReplicaCatchesUp(t *testing.T) {
	r := &delayedReplicaRemote{startedAt: clock.Now(), applyDelay: 700 * time.Millisecond}
	readOwnCommit := boundedRead500ms(100 * time.Millisecond)
	readOwnCommit.LastCommit = r.position(r.startedAt)
	for _, req := range []Request{boundedRead500ms(2 * time.Second), readOwnCommit} {
		out := setWithLaggingReplica(r).Read(context.Background(), req)
		require.Equal(t, statement.Busy, out.Answer.Code)
		require.Contains(t, out.Answer.Detail, "retry after")
		require.Zero(t, out.ReplicaWait)
	}
}

// TestLaggingReplicaNotRetriedImmediately guards against polling a lagging
// replica without a pause.
func TestLaggingReplicaNotRetriedImmediately(t *testing.T) {
	r := &delayedReplicaRemote{startedAt: clock.Now(), applyDelay: 100 * time.Millisecond}
	s := setWithLaggingReplica(r)
	req := boundedRead500ms(2 * time.Second)
	// The caller's own commit is the latest known position.
	req.LastCommit = r.position(r.startedAt)
	out := s.Read(context.Background(), req)
	require.Equal(t, statement.OK, out.Answer.Code, out.Cause)
	require.GreaterOrEqual(t, out.ReplicaWait, 30*time.Millisecond)
	require.LessOrEqual(t, r.onReplica, 4)
}

// TestOverloadRefusalCarriesFloor checks that a host whose statements are all
// refused by an overloaded primary learns a floor from the refusal and reads
// from a replica.
func TestOverloadRefusalCarriesFloor(t *testing.T) {
	r := &delayedReplicaRemote{startedAt: clock.Now() - 2*time.Second, reportFloor: true}
	s := setWithLaggingReplica(r)
	out := s.Read(context.Background(), boundedRead500ms(2*time.Second))
	require.Equal(t, statement.OK, out.Answer.Code, out.Cause)
	require.Equal(t, "replica", out.Member)
	require.Equal(t, 1, r.onPrimary)
	r.reportFloor = false
	out = setWithLaggingReplica(r).Read(context.Background(), boundedRead500ms(2*time.Second))
	require.Equal(t, statement.Busy, out.Answer.Code, "without a floor only the primary can serve")
}

// TestOverloadedPrimaryAskedOncePerRead guards against repeated requests to an
// overloaded primary when no replica has reached the floor.
func TestOverloadedPrimaryAskedOncePerRead(t *testing.T) {
	r := &delayedReplicaRemote{startedAt: clock.Now(), applyDelay: 900 * time.Millisecond, reportFloor: true}
	out := setWithLaggingReplica(r).Read(context.Background(), boundedRead500ms(2*time.Second))
	require.Equal(t, statement.Busy, out.Answer.Code)
	require.Contains(t, out.Answer.Detail, "retry after 1000 ms", "the refusal says when the primary expects room")
	require.Equal(t, 1, r.onPrimary)
	require.LessOrEqual(t, r.onReplica, 1)

	// A host without a floor learns one from the refusal.
	r = &delayedReplicaRemote{startedAt: clock.Now() - 2*time.Second, applyDelay: 900 * time.Millisecond, reportFloor: true}
	out = setWithLaggingReplica(r).Read(context.Background(), boundedRead500ms(2*time.Second))
	require.Equal(t, statement.Busy, out.Answer.Code)
	require.Contains(t, out.Answer.Detail, "retry after 1000 ms")
	require.Equal(t, 1, r.onPrimary)
	require.LessOrEqual(t, r.onReplica, 1)
}
