package replicaset

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// overloadedRemote simulates gates whose queues are full.
type overloadedRemote struct{ calls atomic.Int64 }

func (f *overloadedRemote) Run(context.Context, string, string, Job) Result {
	f.calls.Add(1)
	return Result{Err: &RefusedError{Reason: "too many statements wait for the member", RetryAfter: time.Second}}
}

func (f *overloadedRemote) Alive(context.Context, string) bool { return true }

func (*overloadedRemote) Drop(string) {}

// TestOverloadRefusalNotRetried guards against retries of requests that an
// overloaded primary has refused, which would load its gates further.
func TestOverloadRefusalNotRetried(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(*Set, Request) Outcome
	}{
		{"write", func(s *Set, req Request) Outcome { return s.Write(context.Background(), req) }},
		{"strict read", func(s *Set, req Request) Outcome { return s.Read(context.Background(), req) }},
		{"begin", func(s *Set, req Request) Outcome {
			_, out := s.Begin(context.Background(), req)
			return out
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &overloadedRemote{}
			s := setBehindGates(f)
			s.ObserveFloor(Floor{Position: logpos.Position{Term: 2, Offset: 1}, AsOf: clock.Now(), Leadership: Leadership{Primary: "m", Term: 2}})
			req := boundedRead(time.Minute)
			req.Route.Consistency = catalog.Primary
			out := c.run(s, req)
			require.Equal(t, statement.Busy, out.Answer.Code)
			require.Contains(t, out.Answer.Detail, "retry after 1000 ms")
			require.Equal(t, int64(1), f.calls.Load())
		})
	}
}
