package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

// startGate serves a gate on a free loopback address.
func startGate(t *testing.T, h GateHandler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	mux := http.NewServeMux()
	mux.Handle(NewGateServer(h, 0))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: mux, Protocols: protocols}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// unorderedGate answers jobs in another order than they came in. Its signature names the
// statement.
type unorderedGate struct{ GateHandler }

func (unorderedGate) RunJob(_ context.Context, service string, j replicaset.Job) replicaset.Result {
	time.Sleep(rand.N(5 * time.Millisecond))
	id := j.Request.Statement.ID
	return replicaset.Result{Answer: statement.Answer{Signature: service + "." + id, Rows: []string{id}}}
}

// TestAnswersOfGateReachTheirJobs guards against the answer to one job being taken for that to
// another one on the same connection: answers come in another order, jobs are given up before
// they are answered, and the connections are dropped meanwhile.
func TestAnswersOfGateReachTheirJobs(t *testing.T) {
	address := startGate(t, unorderedGate{})
	var dialer net.Dialer
	client := NewGateClient(t.Context(), dialer.DialContext, "host-1@1")
	defer client.Close()
	var right, wrong, failed atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(time.Second)
	for caller := range 8 {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				id, now := fmt.Sprint(caller, "-", n), clock.Now()
				ctx, cancel := context.WithTimeout(context.Background(), rand.N(20*time.Millisecond))
				res := client.Run(ctx, address, "svc", replicaset.Job{
					Kind: replicaset.JobStatement, Member: "m", Owner: "host-1@1",
					Request: replicaset.Request{
						Statement: statement.Statement{Kind: statement.Read, ID: id, Text: "FETCH 1a4"}, Received: now, Deadline: now + time.Second, StartDeadline: now + time.Second,
					},
				})
				cancel()
				if caller == 0 && n%20 == 19 {
					client.Drop(address)
				}
				switch {
				case res.Err != nil:
					failed.Add(1)
				case res.Answer.Signature == "svc."+id && len(res.Answer.Rows) == 1 && res.Answer.Rows[0] == id:
					right.Add(1)
				default:
					wrong.Add(1)
				}
			}
		})
	}
	wg.Wait()
	t.Logf("%d answers, %d jobs without one", right.Load(), failed.Load())
	require.Zero(t, wrong.Load())
	require.Greater(t, right.Load(), int64(100))
}
