package peer

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/peer/peerpb"
	"github.com/dotterelswitch/dotterelswitch/node/peer/peerpb/peerpbconnect"
	"github.com/dotterelswitch/dotterelswitch/node/registry"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

// stubGate answers statements immediately and has a store listing of 100 KB.
type stubGate struct{}

func (stubGate) RunJob(context.Context, string, replicaset.Job) replicaset.Result {
	return replicaset.Result{Answer: statement.Answer{Code: statement.OK, Signature: "signature", Rows: []string{"a row"}}}
}

func (stubGate) Listing(store.Revision) store.Listing {
	return store.Listing{Revision: 7, Items: []store.Item{{Key: "config", Value: bytes.Repeat([]byte("route "), 17_000)}}}
}

func (stubGate) Snapshot() (store.Listing, error) { return store.Listing{}, nil }

func (stubGate) Configuration(uint64) []byte { return nil }
func (stubGate) StreamChanges(context.Context, store.Revision, bool, func(registry.Update) error) error {
	return nil
}

func (stubGate) Detached(string) {}

// serveGate starts a gate and returns its address.
func serveGate(t testing.TB) string { return serveHandler(t, stubGate{}, 0) }

// serveHandler starts a gate of a host with a link of some Mbit/s.
func serveHandler(t testing.TB, h GateHandler, linkMbps int) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(NewGateServer(h, linkMbps))
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := httptest.NewUnstartedServer(mux)
	s.Config.Protocols = protocols
	s.Start()
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// encodingOf returns the Content-Encoding of the answer to a call that accepts
// gzip.
func encodingOf(t *testing.T, address, procedure string, m proto.Message) string {
	t.Helper()
	body, err := proto.Marshal(m)
	require.NoError(t, err)
	req, err := http.NewRequest(http.MethodPost, "http://"+address+procedure, bytes.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Content-Type", "application/proto")
	req.Header.Set("Accept-Encoding", "gzip")
	resp, err := http.DefaultTransport.RoundTrip(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)
	return resp.Header.Get("Content-Encoding")
}

// Guards against compressing small answers, which costs more than it saves, and
// against sending large listings of the store uncompressed.
func TestOnlyLargeAnswersAreCompressed(t *testing.T) {
	address := serveGate(t)
	require.Empty(t, encodingOf(t, address, peerpbconnect.GateRunProcedure, &peerpb.JobRequest{Service: "svc"}))
	require.Equal(t, "gzip", encodingOf(t, address, peerpbconnect.GateListingProcedure, &peerpb.ListingRequest{}))
}

// BenchmarkGateCall sends statements to a gate on one processor, with a garbage
// collection every ten calls, which empties the pool of compressors.
func BenchmarkGateCall(b *testing.B) {
	address := serveGate(b)
	c := NewGateClient(b.Context(), (&net.Dialer{}).DialContext, "host")
	defer c.Close()
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		j := replicaset.Job{Kind: replicaset.JobRead, Request: replicaset.Request{Deadline: clock.Now() + time.Minute}}
		if res := c.Run(b.Context(), address, "svc", j); res.Err != nil {
			b.Fatal(res.Err)
		}
		if n++; n%10 == 0 {
			runtime.GC()
		}
	}
}
