package peer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

// answeringGate answers each job without a member.
type answeringGate struct{ GateHandler }

func (answeringGate) RunJob(context.Context, string, replicaset.Job) replicaset.Result {
	return replicaset.Result{Answer: statement.Answer{Rows: []string{"x"}, Signature: "7.1f3.c.2b", State: statement.InTransaction, Position: logpos.Position{Term: 3, Offset: 1207}}}
}

// BenchmarkForwardedStatement measures a statement of a transaction that another host keeps,
// without the member's part.
func BenchmarkForwardedStatement(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	mux := http.NewServeMux()
	mux.Handle(NewGateServer(answeringGate{}, 0))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: mux, Protocols: protocols}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	var dialer net.Dialer
	client := NewGateClient(b.Context(), dialer.DialContext, "host-1@1")
	for _, id := range []uint64{1, 1<<63 + 7} {
		b.Run(fmt.Sprintf("transaction %#x", id), func(b *testing.B) {
			for b.Loop() {
				now := clock.Now()
				res := client.Run(b.Context(), l.Addr().String(), "svc", replicaset.Job{
					Kind: replicaset.JobStatement, Member: "m", Tx: id, Owner: "host-1@1",
					Request: replicaset.Request{
						Statement: statement.Statement{Kind: statement.Read, ID: "5c0e7a21d94b36f8", Text: "FETCH 1a4"}, Received: now, Deadline: now + time.Second, StartDeadline: now + time.Second,
					},
				})
				require.NoError(b, res.Err)
			}
		})
	}
}
