package replicaset

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/directory"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/health"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// fakeRemote stands for two gates: the first that is called takes a while, or
// never answers; the other answers at once.
type fakeRemote struct {
	// slow is how long the first gate takes; zero for ever.
	slow  time.Duration
	alive bool

	mu       sync.Mutex
	first    string
	calls    []string
	canceled bool
	dropped  int
}

func (f *fakeRemote) Run(ctx context.Context, address, _ string, j Job) Result {
	f.mu.Lock()
	if f.first == "" {
		f.first = address
	}
	first := f.first == address
	f.calls = append(f.calls, address)
	f.mu.Unlock()
	served := Result{Answer: statement.Answer{Code: statement.OK, Signature: address}}
	if !first {
		return served
	}
	ctx, cancel := context.WithDeadline(ctx, clock.Deadline(j.Work.EndBy))
	defer cancel()
	var ready <-chan time.Time
	if f.slow > 0 {
		ready = time.After(f.slow)
	}
	select {
	case <-ready:
		return served
	case <-ctx.Done():
		f.mu.Lock()
		f.canceled = errors.Is(ctx.Err(), context.Canceled)
		f.mu.Unlock()
		return Result{Err: &GateError{Address: address, Sent: true, Err: ctx.Err()}}
	}
}

func (f *fakeRemote) Alive(_ context.Context, address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.alive || address != f.first
}

func (f *fakeRemote) Drop(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if address == f.first {
		f.dropped++
	}
}

func (f *fakeRemote) drops() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dropped
}

// distantSet is the set of a host that keeps no connection itself.
func distantSet(r Remote) *Set {
	s := New(Config{Service: "svc", Remote: r, Host: "h0", Log: zerolog.Nop()})
	hosts := []gates.Host{{Name: "h0", Zone: "far", Address: "a0"}}
	for _, n := range []string{"1", "2"} {
		hosts = append(hosts, gates.Host{Name: "h" + n, Zone: "near", Address: "a" + n})
	}
	s.Update([]directory.Member{{Entry: directory.Entry{ID: "m", Service: "svc", Zone: "near", Slots: 2}}}, catalog.Service{MaxConnections: 16}, gates.NewFleet(hosts, nil))
	s.LearnFloor(Floor{Position: logpos.Position{Term: 1, Offset: 1}, Sent: clock.Now()})
	return s
}

func boundedRead(length time.Duration) Work {
	now := clock.Now()
	return Work{
		Statement: statement.Statement{Kind: statement.Read, ID: "r"},
		Route:     catalog.Route{Consistency: catalog.BoundedStaleness, MaxStaleness: time.Hour},
		Received:  now, AimBy: now + length, FreshBy: now + length, StartBy: now + length, EndBy: now + length,
	}
}

// TestReadLeavesAGateThatFallsSilent: a gate that freezes with a read under way
// does not keep it for all of its time.
func TestReadLeavesAGateThatFallsSilent(t *testing.T) {
	r := &fakeRemote{}
	out := distantSet(r).Read(context.Background(), boundedRead(time.Minute))
	require.Equal(t, statement.OK, out.Answer.Code)
	require.Len(t, r.calls, 2)
	require.True(t, r.canceled, "the read was given up long before its end")
}

// TestReadStaysWithAGateThatIsBusy: a statement that queues at a gate that
// lives would only take another's place elsewhere.
func TestReadStaysWithAGateThatIsBusy(t *testing.T) {
	r := &fakeRemote{slow: 3 * health.GateSilenceTimeout, alive: true}
	out := distantSet(r).Read(context.Background(), boundedRead(time.Minute))
	require.Equal(t, statement.OK, out.Answer.Code)
	require.Len(t, r.calls, 1)
}

// TestWriteWaitsForItsGate: a write that may have run is never sent again.
func TestWriteWaitsForItsGate(t *testing.T) {
	r := &fakeRemote{}
	s := distantSet(r)
	s.LearnFloor(Floor{Position: logpos.Position{Term: 2, Offset: 1}, Sent: clock.Now(), Lead: Lead{Primary: "m", Term: 2}})
	out := s.Write(context.Background(), boundedRead(time.Second))
	require.Equal(t, statement.InDoubt, out.Answer.Code)
	require.Len(t, r.calls, 1)
	require.False(t, r.canceled)
}

// TestConnectionsToALostGateAreDropped: a write on a gate that lost power is told
// so once the gate counts as lost, and what other hosts send next opens a new
// connection; a gate that lives keeps its connections however long it takes.
func TestConnectionsToALostGateAreDropped(t *testing.T) {
	for _, c := range []struct {
		name  string
		alive bool
		drops int
	}{{"lost", false, 1}, {"busy", true, 0}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := &fakeRemote{alive: c.alive}
			s := distantSet(r)
			s.LearnFloor(Floor{Position: logpos.Position{Term: 2, Offset: 1}, Sent: clock.Now(), Lead: Lead{Primary: "m", Term: 2}})
			s.Write(context.Background(), boundedRead(health.GateLostTimeout+3*health.GateSilenceTimeout))
			require.Equal(t, c.drops, r.drops())
		})
	}
}
