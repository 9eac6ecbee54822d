package peer

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

// TestGatesOutOfReachLeaveTimeForAnotherWay replays a fleet that is cut in two:
// no gate of a member can be reached, and nothing says so. What was not sent may
// go elsewhere, and there has to be time for it.
func TestGatesOutOfReachLeaveTimeForAnotherWay(t *testing.T) {
	// objective is the latency objective of most callers of the large deployments.
	const objective = 500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := NewGateClient(ctx, func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
		}, "host")
		defer c.Close()
		began := time.Now()
		for _, address := range []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"} {
			j := replicaset.Job{Kind: replicaset.JobWrite, Request: replicaset.Request{Deadline: clock.Now() + time.Minute}}
			res := c.Run(ctx, address, "svc", j)
			var gate *replicaset.GateError
			require.ErrorAs(t, res.Err, &gate)
			require.False(t, gate.MaybeSent, "a write that was not sent may go elsewhere")
		}
		require.Less(t, time.Since(began), objective*4/5)
	})
}
