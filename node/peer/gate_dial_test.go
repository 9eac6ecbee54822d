package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
	"github.com/dotterelswitch/dotterelswitch/standin/simtime"
)

// Guards against dial timeouts that use up the caller's time when a partition
// makes all gates of a member unreachable. A statement that was not sent may be
// retried elsewhere.
func TestUnreachableGatesLeaveTimeForDirectConnection(t *testing.T) {
	// targetLatency is a typical target latency of a route.
	const targetLatency = 500 * time.Millisecond
	simtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := NewGateClient(ctx, func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
		}, "host")
		defer c.Close()
		started := time.Now()
		for _, address := range []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"} {
			j := replicaset.Job{Kind: replicaset.JobWrite, Request: replicaset.Request{Deadline: clock.Now() + time.Minute}}
			res := c.Run(ctx, address, "svc", j)
			var gateErr *replicaset.GateError
			require.ErrorAs(t, res.Err, &gateErr)
			require.False(t, gateErr.JobMayHaveArrived, "a write that was not sent may be retried elsewhere")
		}
		require.Less(t, time.Since(started), targetLatency*4/5)
	})
}

// TestAddressThatNobodyCanCallIsInvalid guards against a registration whose address makes
// calls fail before they are sent, or go elsewhere.
func TestAddressThatNobodyCanCallIsInvalid(t *testing.T) {
	for _, address := range []string{"10.1.0.1:7000", "[::1]:7000", "host-1.mesh:7000"} {
		require.True(t, ValidAddress(address), address)
	}
	for _, address := range []string{"", "b", "10.1.0.1", "10.1.0.1:", "10.1.0.1:0", "10.1.0.1:70000", "10.1.0.1:-1", ":7000", "a b:7000", "a\r\nb:7000", "a/b:7000", "a@b:7000", "a?b:7000", "a%zz:7000", "a#b:7000"} {
		require.False(t, ValidAddress(address), "%q", address)
	}
}
