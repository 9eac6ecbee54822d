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

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/peer/peerpb"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
	"github.com/dotterelswitch/dotterelswitch/standin/simtime"
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

// attachedGate tells which owners have detached.
type attachedGate struct {
	GateHandler
	detached chan string
}

func (g attachedGate) Detached(owner string) { g.detached <- owner }

// TestLateEndOfEarlierStreamDetachesNoOwner guards against the end of a host's earlier stream,
// which a gate may notice long after the host has opened another one, being taken for the end
// of the host: its open transactions would be rolled back.
func TestLateEndOfEarlierStreamDetachesNoOwner(t *testing.T) {
	simtime.Test(t, func(t *testing.T) {
		gate := attachedGate{detached: make(chan string, 2)}
		s := &gateServer{handler: gate}
		attach := func() context.CancelFunc {
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				_ = s.Attach(ctx, connect.NewRequest(&peerpb.AttachRequest{Owner: "host-1@1"}), nil)
			}()
			time.Sleep(time.Second)
			return cancel
		}
		endEarlier := attach()
		endLater := attach()
		endEarlier()
		time.Sleep(time.Second)
		require.Empty(t, gate.detached, "the host is attached by its other stream")
		endLater()
		require.Equal(t, "host-1@1", <-gate.detached)
		attach()()
		require.Equal(t, "host-1@1", <-gate.detached)
	})
}
