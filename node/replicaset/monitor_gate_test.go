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

// stallingRemote simulates two gates: the one that is called first answers slowly or
// never, the other one immediately.
type stallingRemote struct {
	// delay is the response time of the first gate; zero for no response.
	delay time.Duration
	alive bool

	mu       sync.Mutex
	first    string
	calls    []string
	canceled bool
	dropped  int
}

func (f *stallingRemote) Run(ctx context.Context, address, _ string, j Job) Result {
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
	ctx, cancel := context.WithDeadline(ctx, clock.Deadline(j.Request.Deadline))
	defer cancel()
	var ready <-chan time.Time
	if f.delay > 0 {
		ready = time.After(f.delay)
	}
	select {
	case <-ready:
		return served
	case <-ctx.Done():
		f.mu.Lock()
		f.canceled = errors.Is(ctx.Err(), context.Canceled)
		f.mu.Unlock()
		return Result{Err: &GateError{Address: address, JobMayHaveArrived: true, Err: ctx.Err()}}
	}
}

func (f *stallingRemote) Alive(_ context.Context, address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.alive || address != f.first
}

func (f *stallingRemote) Drop(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if address == f.first {
		f.dropped++
	}
}

func (f *stallingRemote) drops() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dropped
}

// setBehindGates returns the set of a host that is not a gate of the only member.
func setBehindGates(r Remote) *Set {
	s := New(Config{Service: "svc", Remote: r, Host: "h0", Log: zerolog.Nop()})
	hosts := []gates.Host{{Name: "h0", Zone: "far", Address: "a0"}}
	for _, n := range []string{"1", "2"} {
		hosts = append(hosts, gates.Host{Name: "h" + n, Zone: "near", Address: "a" + n})
	}
	s.Update([]directory.Member{{Entry: directory.Entry{ID: "m", Service: "svc", Zone: "near", Slots: 2}}}, catalog.Service{MaxConnections: 16}, gates.NewFleet(hosts, nil))
	s.ObserveFloor(Floor{Position: logpos.Position{Term: 1, Offset: 1}, AsOf: clock.Now()})
	return s
}

func boundedRead(timeout time.Duration) Request {
	now := clock.Now()
	return Request{
		Statement: statement.Statement{Kind: statement.Read, ID: "r"},
		Route:     catalog.Route{Consistency: catalog.BoundedStaleness, MaxStaleness: time.Hour},
		Received:  now, TargetDeadline: now + timeout, OnTimeUntil: now + timeout, StartDeadline: now + timeout, Deadline: now + timeout,
	}
}

// TestReadLeavesUnresponsiveGate guards against a read that waits on a frozen
// gate until its deadline.
func TestReadLeavesUnresponsiveGate(t *testing.T) {
	r := &stallingRemote{}
	out := setBehindGates(r).Read(context.Background(), boundedRead(time.Minute))
	require.Equal(t, statement.OK, out.Answer.Code)
	require.Len(t, r.calls, 2)
	require.True(t, r.canceled, "the read was abandoned long before its deadline")
}

// TestReadStaysWithBusyGate guards against moving a queued statement away from
// a gate that is alive.
func TestReadStaysWithBusyGate(t *testing.T) {
	r := &stallingRemote{delay: 3 * health.GateSilenceTimeout, alive: true}
	out := setBehindGates(r).Read(context.Background(), boundedRead(time.Minute))
	require.Equal(t, statement.OK, out.Answer.Code)
	require.Len(t, r.calls, 1)
}

// TestWriteWaitsForItsGate guards against sending a write again that may have
// run.
func TestWriteWaitsForItsGate(t *testing.T) {
	r := &stallingRemote{}
	s := setBehindGates(r)
	s.ObserveFloor(Floor{Position: logpos.Position{Term: 2, Offset: 1}, AsOf: clock.Now(), Leadership: Leadership{Primary: "m", Term: 2}})
	out := s.Write(context.Background(), boundedRead(time.Second))
	require.Equal(t, statement.InDoubt, out.Answer.Code)
	require.Len(t, r.calls, 1)
	require.False(t, r.canceled)
}

// TestLostGateConnectionsClosed checks that connections to a lost gate are
// closed, so that writes in progress fail and later calls dial again, and that
// a busy gate keeps its connections.
func TestLostGateConnectionsClosed(t *testing.T) {
	for _, c := range []struct {
		name  string
		alive bool
		drops int
	}{{"lost", false, 1}, {"busy", true, 0}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := &stallingRemote{alive: c.alive}
			s := setBehindGates(r)
			s.ObserveFloor(Floor{Position: logpos.Position{Term: 2, Offset: 1}, AsOf: clock.Now(), Leadership: Leadership{Primary: "m", Term: 2}})
			s.Write(context.Background(), boundedRead(health.GateLostTimeout+3*health.GateSilenceTimeout))
			require.Equal(t, c.drops, r.drops())
		})
	}
}
