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

// fullRemote stands for gates whose queues have no room.
type fullRemote struct{ calls atomic.Int64 }

func (f *fullRemote) Run(context.Context, string, string, Job) Result {
	f.calls.Add(1)
	return Result{Err: &RefusedError{Reason: "too many statements wait for the member", RetryAfter: time.Second}}
}

func (f *fullRemote) Alive(context.Context, string) bool { return true }

func (*fullRemote) Drop(string) {}

// TestOverloadIsNotMultiplied replays a primary that serves alone for its
// group: what its queue has no room for is told so at once. Asked again every
// few milliseconds, the hosts that keep its connections would spend their
// processors on refusals.
func TestOverloadIsNotMultiplied(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(*Set, Work) Outcome
	}{
		{"write", func(s *Set, w Work) Outcome { return s.Write(context.Background(), w) }},
		{"strict read", func(s *Set, w Work) Outcome { return s.Read(context.Background(), w) }},
		{"begin", func(s *Set, w Work) Outcome {
			_, out := s.Begin(context.Background(), w)
			return out
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fullRemote{}
			s := distantSet(f)
			s.LearnFloor(Floor{Position: logpos.Position{Term: 2, Offset: 1}, Sent: clock.Now(), Lead: Lead{Primary: "m", Term: 2}})
			w := boundedRead(time.Minute)
			w.Route.Consistency = catalog.Primary
			out := c.run(s, w)
			require.Equal(t, statement.Busy, out.Answer.Code)
			require.Contains(t, out.Answer.Detail, "retry after 1000 ms")
			require.Equal(t, int64(1), f.calls.Load())
		})
	}
}
