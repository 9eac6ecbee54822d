package replicaset

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
	"github.com/dotterelswitch/dotterelswitch/core/directory"
	"github.com/dotterelswitch/dotterelswitch/core/feature"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// unansweredMember returns a member with one connection, which opens only when the test
// ends, and a queue of two statements.
func unansweredMember(t *testing.T, features feature.Set, onDropped func(string, connpool.Dropped)) *Member {
	t.Helper()
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	s := New(Config{
		Service: "svc", Host: "h0", Features: features, Log: zerolog.Nop(), OnDropped: onDropped,
		Dial: func(context.Context, string, string) (net.Conn, error) {
			<-ended
			return nil, errors.New("the test has ended")
		},
	})
	return newMember(s, directory.Member{Entry: directory.Entry{ID: "m", Service: "svc"}}, gates.Share{Limits: connpool.Limits{MaxOpen: 1, MaxWaiting: 2}})
}

// acquireInBackground waits for a connection for a statement of a priority and returns
// its result.
func acquireInBackground(m *Member, priority int) <-chan error {
	now, result := clock.Now(), make(chan error, 1)
	before := m.waitingCount()
	go func() {
		_, err := m.acquire(context.Background(), connpool.Waiter{Priority: priority, TargetDeadline: now + time.Minute, OnTimeUntil: now + time.Minute, StartDeadline: now + time.Minute})
		result <- err
	}()
	for m.waitingCount() == before && len(result) == 0 && before < 2 {
		time.Sleep(time.Millisecond)
	}
	return result
}

func (m *Member) waitingCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pool.Waiting()
}

// TestDisplacedStatementIsRefusedAtOnce guards against a statement that has lost its place
// in the queue and waits until its deadline.
func TestDisplacedStatementIsRefusedAtOnce(t *testing.T) {
	dropped := make(chan connpool.Dropped, 1)
	m := unansweredMember(t, nil, func(_ string, d connpool.Dropped) { dropped <- d })
	kept, displaced := acquireInBackground(m, 1), acquireInBackground(m, 2)
	acquireInBackground(m, 0)
	var refused *RefusedError
	require.ErrorAs(t, <-displaced, &refused)
	require.Equal(t, eventlog.ReasonDisplaced, refused.Reason)
	require.Positive(t, refused.RetryAfter, "the host must not retry it, as after any refusal because of a full queue")
	d := <-dropped
	require.Equal(t, []int{2, 0}, []int{d.Waiter.Priority, d.By.Priority})
	require.Empty(t, kept)
	require.Equal(t, 2, m.waitingCount())
}

// TestDisplacedAndCancelledStatementsReturn guards against a statement that waits for ever
// because its caller gave up while another statement displaced it.
func TestDisplacedAndCancelledStatementsReturn(t *testing.T) {
	m := unansweredMember(t, nil, func(string, connpool.Dropped) {})
	const callers = 300
	returned := make(chan error, callers)
	for i := range callers {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i%20)*time.Millisecond)
			defer cancel()
			until := clock.Now() + time.Minute
			_, err := m.acquire(ctx, connpool.Waiter{Priority: callers - i, TargetDeadline: until, OnTimeUntil: until, StartDeadline: until})
			returned <- err
		}()
	}
	for range callers {
		select {
		case err := <-returned:
			require.Error(t, err)
		case <-time.After(10 * time.Second):
			t.Fatal("a statement does not return")
		}
	}
}

// TestFullQueueRefusesNewcomerWithoutFairSlots checks the behaviour with the feature
// disabled.
func TestFullQueueRefusesNewcomerWithoutFairSlots(t *testing.T) {
	m := unansweredMember(t, feature.Set{feature.FairSlots: true}, nil)
	acquireInBackground(m, 2)
	acquireInBackground(m, 2)
	var refused *RefusedError
	require.ErrorAs(t, <-acquireInBackground(m, 0), &refused)
	require.Equal(t, eventlog.ReasonQueueFull, refused.Reason)
}

// losingRemote simulates two gates. The one that is called first keeps its statements
// waiting until it is lost; the other one serves at once.
type losingRemote struct {
	lost chan struct{}

	mu      sync.Mutex
	first   string
	waiting int
	// served holds the start deadlines of the statements that the other gate got.
	served []time.Duration
}

func (r *losingRemote) Run(_ context.Context, address, _ string, j Job) Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.first == "" {
		r.first = address
	}
	if r.first != address {
		r.served = append(r.served, j.Request.StartDeadline)
		return Result{Answer: statement.Answer{Code: statement.OK, Signature: address}}
	}
	r.waiting++
	r.mu.Unlock()
	<-r.lost
	r.mu.Lock()
	return Result{Err: &GateError{Address: address, JobMayHaveArrived: true, Err: errors.New("connection reset")}}
}

func (*losingRemote) Alive(context.Context, string) bool { return true }

func (*losingRemote) Drop(string) {}

// TestLostGateLeavesItsQueueToTheNext guards against statements that are lost with a
// gate's queue, or that start anew with their full time at the next gate.
func TestLostGateLeavesItsQueueToTheNext(t *testing.T) {
	const queued = 64
	r := &losingRemote{lost: make(chan struct{})}
	s := setBehindGates(r)
	req := boundedRead(time.Minute)
	codes := make(chan statement.Code, queued)
	for range queued {
		go func() { codes <- s.Read(context.Background(), req).Answer.Code }()
	}
	require.Eventually(t, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.waiting == queued
	}, 10*time.Second, time.Millisecond)
	close(r.lost)
	for range queued {
		require.Equal(t, statement.OK, <-codes)
	}
	require.Len(t, r.served, queued)
	for _, startDeadline := range r.served {
		require.Equal(t, req.StartDeadline, startDeadline)
	}
}
