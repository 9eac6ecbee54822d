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

// lagRemote stands for the gates of a primary without room and of a replica
// that applies its log late.
type lagRemote struct {
	began time.Duration
	// behindBy is how late the replica applies a commit; it makes one each
	// millisecond.
	behindBy time.Duration
	// tells has the primary's gate add the newest floor to its refusals.
	tells bool
	// onPrimary and onReplica count the jobs.
	onPrimary, onReplica int
}

func (r *lagRemote) position(at time.Duration) logpos.Position {
	return logpos.Position{Term: 1, Offset: logpos.Offset(1000 + (at-r.began)/time.Millisecond)}
}

func (r *lagRemote) Run(_ context.Context, _, _ string, j Job) Result {
	if j.Member == "primary" {
		r.onPrimary++
		res := Result{Err: &RefusedError{Reason: "too many statements wait for the member", RetryAfter: time.Second}}
		if r.tells {
			res.Floor = Floor{Position: r.position(clock.Now()), Sent: clock.Now(), Lead: Lead{Primary: "primary", Term: 1}}
		}
		return res
	}
	if j.Floor.IsZero() {
		return Result{Err: errUnbounded}
	}
	r.onReplica++
	held := r.position(clock.Now() - r.behindBy)
	if held.Less(j.Floor) {
		return Result{Answer: statement.Answer{Code: statement.Behind, Position: held}}
	}
	return Result{Answer: statement.Answer{Code: statement.OK, Signature: "s", Position: held}, Tx: 1}
}

func (r *lagRemote) Alive(context.Context, string) bool { return true }

func (*lagRemote) Drop(string) {}

// laggedSet returns a set whose primary has no room and whose replica is
// behind, with the floors of the last 900 ms.
func laggedSet(r *lagRemote) *Set {
	s := New(Config{Service: "svc", Remote: r, Host: "h0", Log: zerolog.Nop()})
	hosts := []gates.Host{{Name: "h0", Zone: "far", Address: "a0"}, {Name: "h1", Zone: "near", Address: "a1"}, {Name: "h2", Zone: "near", Address: "a2"}}
	entry := func(id string) directory.Member {
		return directory.Member{Entry: directory.Entry{ID: id, Service: "svc", Zone: "near", Slots: 2}}
	}
	s.Update([]directory.Member{entry("primary"), entry("replica")}, catalog.Service{MaxConnections: 16}, gates.NewFleet(hosts, nil))
	for at := r.began - 900*time.Millisecond; at <= r.began; at += 20 * time.Millisecond {
		s.LearnFloor(Floor{Position: r.position(at), Sent: at, Lead: Lead{Primary: "primary", Term: 1}})
	}
	return s
}

// lateRead is a read that may be 500 ms old and has the given time.
func lateRead(patience time.Duration) Work {
	now := clock.Now()
	return Work{
		Statement: statement.Statement{Kind: statement.Read, ID: "r"}, ReadOnly: true,
		Route:    catalog.Route{Consistency: catalog.BoundedStaleness, MaxStaleness: 500 * time.Millisecond},
		Received: now, AimBy: now + 100*time.Millisecond, FreshBy: now + 50*time.Millisecond,
		StartBy: now + patience, EndBy: now + patience + time.Second,
	}
}

// TestReadWaitsForAReplicaThatCatchesUp: the primary has no room, and the
// replica applies 300 ms late. It holds the caller's last commit after that, and
// the read is served then, after few tries.
func TestReadWaitsForAReplicaThatCatchesUp(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(*Set, Work) Outcome
	}{
		{"read", func(s *Set, w Work) Outcome { return s.Read(context.Background(), w) }},
		{"begin", func(s *Set, w Work) Outcome {
			tx, out := s.Begin(context.Background(), w)
			require.NotNil(t, tx)
			return out
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &lagRemote{began: clock.Now(), behindBy: 300 * time.Millisecond}
			w := lateRead(2 * time.Second)
			w.Committed = r.position(r.began)
			out := c.run(laggedSet(r), w)
			require.Equal(t, statement.OK, out.Answer.Code, out.Cause)
			require.Equal(t, "replica", out.Member)
			require.Positive(t, out.Held)
			require.Equal(t, 1, r.onPrimary)
			require.LessOrEqual(t, r.onReplica, 4)
		})
	}
}

// TestReadThatNoReplicaServesInTimeIsRefusedAtOnce: a final answer is not held
// back by a hope that cannot come true: of a replica that is behind by more than
// the read may be old, or of one that catches up too late.
func TestReadThatNoReplicaServesInTimeIsRefusedAtOnce(t *testing.T) {
	r := &lagRemote{began: clock.Now(), behindBy: 700 * time.Millisecond}
	own := lateRead(100 * time.Millisecond)
	own.Committed = r.position(r.began)
	for _, w := range []Work{lateRead(2 * time.Second), own} {
		out := laggedSet(r).Read(context.Background(), w)
		require.Equal(t, statement.Busy, out.Answer.Code)
		require.Contains(t, out.Answer.Detail, "retry after")
		require.Zero(t, out.Held)
	}
}

// TestReplicaThatIsBehindIsNotAskedAgainAtOnce: however little is known of the
// log, a replica gets a moment to catch up between two tries.
func TestReplicaThatIsBehindIsNotAskedAgainAtOnce(t *testing.T) {
	r := &lagRemote{began: clock.Now(), behindBy: 100 * time.Millisecond}
	s := laggedSet(r)
	w := lateRead(2 * time.Second)
	// The caller's own commit is the newest known.
	w.Committed = r.position(r.began)
	out := s.Read(context.Background(), w)
	require.Equal(t, statement.OK, out.Answer.Code, out.Cause)
	require.GreaterOrEqual(t, out.Held, 30*time.Millisecond)
	require.LessOrEqual(t, r.onReplica, 4)
}

// TestRefusalOfAFullPrimaryTellsAFloor: a host whose statements all find the
// primary full knows nothing of its log. The refusal tells it what the gate
// knows, and a replica serves the read.
func TestRefusalOfAFullPrimaryTellsAFloor(t *testing.T) {
	r := &lagRemote{began: clock.Now() - 2*time.Second, tells: true}
	s := laggedSet(r)
	out := s.Read(context.Background(), lateRead(2*time.Second))
	require.Equal(t, statement.OK, out.Answer.Code, out.Cause)
	require.Equal(t, "replica", out.Member)
	require.Equal(t, 1, r.onPrimary)
	r.tells = false
	out = laggedSet(r).Read(context.Background(), lateRead(2*time.Second))
	require.Equal(t, statement.Busy, out.Answer.Code, "without a floor only the primary can serve")
}

// TestFullPrimaryIsAskedOnceForARead replays a group whose replicas are too far
// behind, in a large fleet: the primary is offered twice what it runs, and its
// refusals tell a floor that no replica holds. Each read that went on asking it,
// six times in 100 ms, took the processors of the hosts that keep its connections.
func TestFullPrimaryIsAskedOnceForARead(t *testing.T) {
	r := &lagRemote{began: clock.Now(), behindBy: 900 * time.Millisecond, tells: true}
	out := laggedSet(r).Read(context.Background(), lateRead(2*time.Second))
	require.Equal(t, statement.Busy, out.Answer.Code)
	require.Contains(t, out.Answer.Detail, "retry after 1000 ms", "the refusal says when the primary expects room")
	require.Equal(t, 1, r.onPrimary)
	require.LessOrEqual(t, r.onReplica, 1)

	// Without a floor of its own the host hears one with the refusal.
	r = &lagRemote{began: clock.Now() - 2*time.Second, behindBy: 900 * time.Millisecond, tells: true}
	out = laggedSet(r).Read(context.Background(), lateRead(2*time.Second))
	require.Equal(t, statement.Busy, out.Answer.Code)
	require.Contains(t, out.Answer.Detail, "retry after 1000 ms")
	require.Equal(t, 1, r.onPrimary)
	require.LessOrEqual(t, r.onReplica, 1)
}
