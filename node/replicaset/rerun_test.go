package replicaset

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/statement"
)

// lossyRemote loses the answers of the first calls.
type lossyRemote struct{ lost, calls int }

func (r *lossyRemote) Run(_ context.Context, address, _ string, _ Job) Result {
	r.calls++
	if r.calls <= r.lost {
		return Result{Err: &GateError{Address: address, JobMayHaveArrived: true, Err: errors.New("connection reset")}}
	}
	return Result{Answer: statement.Answer{Code: statement.OK, Signature: "signature"}}
}

func (*lossyRemote) Alive(context.Context, string) bool { return true }

func (*lossyRemote) Drop(string) {}

// TestRerunNeedsGrant guards against a team over its limit: a read whose answer was lost
// ran once more on a member without a grant.
func TestRerunNeedsGrant(t *testing.T) {
	r := &lossyRemote{lost: 1}
	req := boundedRead(time.Minute)
	asked := 0
	req.AdmitRerun = func(context.Context) bool { asked++; return true }
	out := setBehindGates(r).Read(t.Context(), req)
	require.Equal(t, statement.OK, out.Answer.Code)
	require.Equal(t, 1, asked)
	require.Equal(t, 2, out.Runs)
}

// TestReadThatMayHaveRunIsNotCalledNotRun guards against a refusal that says that a read
// has not run, and so against a refund of its operation, after its answer was lost.
func TestReadThatMayHaveRunIsNotCalledNotRun(t *testing.T) {
	r := &lossyRemote{lost: 1}
	req := boundedRead(time.Minute)
	req.AdmitRerun = func(context.Context) bool { return false }
	out := setBehindGates(r).Read(t.Context(), req)
	require.Equal(t, 1, r.calls)
	require.Equal(t, 1, out.Runs)
	require.Equal(t, statement.Aborted, out.Answer.Code)
	require.NotContains(t, out.Answer.Detail, "not run")
}
