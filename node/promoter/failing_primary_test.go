package promoter

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/directory"
	"github.com/dotterelswitch/dotterelswitch/core/feature"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
	"github.com/dotterelswitch/dotterelswitch/platform"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

// soleHostRegistry is the store of a fleet of one host, which holds the promotion lock once
// it has taken it.
type soleHostRegistry struct {
	reportingRegistry
	mu   sync.Mutex
	lock succession.Lock
}

func (*soleHostRegistry) HostsReportingDead(string, string) []string { return nil }

func (r *soleHostRegistry) LockOf(string) succession.Lock {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lock
}

func (r *soleHostRegistry) TakeLock(context.Context, string, succession.Lock) (uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lock = succession.Lock{Holder: "h0", Revision: r.lock.Revision + 1}
	return r.lock.Token(), nil
}

// stepDownConn does not deliver orders to step down while lost is set, and counts them.
type stepDownConn struct {
	net.Conn
	lost   *atomic.Bool
	orders *atomic.Int64
}

func (c stepDownConn) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte("STEPDOWN")) {
		c.orders.Add(1)
		if c.lost.Load() {
			return len(b), nil
		}
	}
	return c.Conn.Write(b)
}

// failingGroup is a group on the stand-in of the platform, with a host that serves it.
type failingGroup struct {
	t        *testing.T
	group    *lineplatform.Group
	set      *replicaset.Set
	promoter *Promoter
	// stepDownLost is set to lose orders to step down, which stepDowns counts.
	stepDownLost atomic.Bool
	stepDowns    atomic.Int64
	// results receives the result of each promotion.
	results chan Result
	written []string
}

// newFailingGroup starts a group whose primary has led for long enough to be replaced.
func newFailingGroup(t *testing.T, disabled feature.Set) *failingGroup {
	t.Helper()
	users, err := lineplatform.Start()
	require.NoError(t, err)
	t.Cleanup(users.Close)
	g := &failingGroup{t: t, results: make(chan Result, 100)}
	g.group, err = users.AddGroup("svc", lineplatform.Options{
		Members: 3, Slots: 2, MaxConnections: 16, ServiceTime: time.Millisecond, ReplicationLag: 30 * time.Millisecond,
		PromotionTime: 300 * time.Millisecond, Zones: []string{"a"},
	})
	require.NoError(t, err)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return stepDownConn{c, &g.stepDownLost, &g.stepDowns}, err
	}
	g.set = replicaset.New(replicaset.Config{Service: "svc", Host: "h0", Dial: dial, Proto: platform.MemberProtocol{}, DrainTimeout: time.Minute, Features: disabled, Log: zerolog.Nop()})
	spec := catalog.Service{MaxConnections: 16}
	var members []directory.Member
	for _, m := range g.group.Members() {
		members = append(members, directory.Member{
			Entry:        directory.Entry{ID: m.ID, Service: "svc", Address: m.Address(), Zone: "a", Primary: m == g.group.Primary(), Revision: 3, Slots: 2},
			RoleRevision: 3,
		})
	}
	g.set.Update(members, spec, gates.NewFleet([]gates.Host{{Name: "h0", Zone: "a", Address: "a0"}}, nil))
	g.promoter = New(Config{
		Service: "svc", Host: "h0", Set: g.set, Registry: &soleHostRegistry{reportingRegistry: reportingRegistry{hosts: []string{"h0"}}},
		Platform: platform.NewPromotionClient(users.Address(), "h0", http.DefaultClient, time.Second), Peers: &countingPeers{},
		Spec: func() catalog.Service { return spec }, OnResult: func(r Result) { g.results <- r }, Features: disabled, Log: zerolog.Nop(),
	})
	primary, known := g.set.Member(g.group.Primary().ID)
	require.True(t, known)
	g.promoter.failing.ObservePrimary(primary.Incarnation(), clock.Now()-succession.MinLeadTime)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go g.promoter.Run(ctx)
	go clock.Every(ctx, CheckInterval, func() { g.promoter.Tick(clock.Now()) })
	return g
}

func (g *failingGroup) request(kind statement.Kind, text string) replicaset.Request {
	now := clock.Now()
	return replicaset.Request{
		Statement: statement.Statement{Kind: kind, ID: fmt.Sprint("id-", int64(now)), Text: text}, Route: catalog.Route{Consistency: catalog.Primary},
		Received: now, TargetDeadline: now + time.Second, OnTimeUntil: now + time.Second, StartDeadline: now + 2*time.Second, Deadline: now + 3*time.Second,
	}
}

// writeFor writes distinct items for a while and records the acknowledged ones.
func (g *failingGroup) writeFor(d time.Duration) {
	for end := clock.Now() + d; clock.Now() < end; {
		item := fmt.Sprint("item-", len(g.written), "-", int64(clock.Now()))
		if out := g.set.Write(g.t.Context(), g.request(statement.Write, "STORE "+item+" x")); out.Answer.Code == statement.OK {
			g.written = append(g.written, item)
		}
	}
}

// requireResult waits for the result of a promotion.
func (g *failingGroup) requireResult(expected Result) {
	g.t.Helper()
	select {
	case r := <-g.results:
		require.Equal(g.t, expected, r)
	case <-time.After(5 * time.Second):
		require.FailNow(g.t, "no promotion has ended")
	}
}

// requireWritten checks that the group has all acknowledged writes.
func (g *failingGroup) requireWritten() {
	g.t.Helper()
	for _, item := range g.written {
		out := g.set.Read(g.t.Context(), g.request(statement.Read, "FETCH "+item))
		require.Equal(g.t, []string{"x"}, out.Answer.Rows, "acknowledged write lost: %s", out.Cause)
	}
}

// TestFailingPrimaryIsReplaced guards against a primary that answers each write with a
// failure, passes its health check and leads on.
func TestFailingPrimaryIsReplaced(t *testing.T) {
	g := newFailingGroup(t, nil)
	g.writeFor(200 * time.Millisecond)
	before := len(g.written)
	require.Positive(t, before)
	old := g.group.Primary()
	old.SetFailing(true)
	failedAt := clock.Now()
	for len(g.written) == before && clock.Now() < failedAt+10*time.Second {
		g.writeFor(time.Millisecond)
	}
	took := clock.Now() - failedAt
	t.Logf("%d writes before; the next one was acknowledged after %v", before, took)
	require.Less(t, took, 5*time.Second)
	require.NotEqual(t, old.ID, g.group.Primary().ID)
	g.requireResult(Succeeded)
	require.EqualValues(t, 1, g.stepDowns.Load())
	g.writeFor(100 * time.Millisecond)
	g.requireWritten()

	// The next primary fails as well, and is not replaced within succession.MinLeadTime.
	g.group.Primary().SetFailing(true)
	g.writeFor(2 * time.Second)
	require.EqualValues(t, 1, g.stepDowns.Load())
}

// TestNothingIsPromotedWithoutStepDown guards against a promotion beside a primary that may
// still acknowledge writes, and against a loop of orders to step down.
func TestNothingIsPromotedWithoutStepDown(t *testing.T) {
	g := newFailingGroup(t, nil)
	g.writeFor(200 * time.Millisecond)
	old := g.group.Primary()
	g.stepDownLost.Store(true)
	old.SetFailing(true)
	g.writeFor(3 * time.Second)
	require.Equal(t, old.ID, g.group.Primary().ID)
	g.requireResult(Failed)
	require.Empty(t, g.results)
	require.EqualValues(t, 1, g.stepDowns.Load())
	old.SetFailing(false)
	g.writeFor(100 * time.Millisecond)
	g.requireWritten()
}

// TestStepDownOrderedByAnotherHostIsLeftToIt guards against a second promotion, by a host that
// has just taken the lock, while the host that had the primary step down promotes a replica.
func TestStepDownOrderedByAnotherHostIsLeftToIt(t *testing.T) {
	g := newFailingGroup(t, feature.Set{feature.FailingPrimary: true})
	g.writeFor(100 * time.Millisecond)
	old, err := g.promoter.assumedPrimary()
	require.NoError(t, err)
	g.promoter.checkMu.Lock()
	defer g.promoter.checkMu.Unlock()
	st, err := g.set.SendControl(t.Context(), old, statement.Operation{Verb: statement.StepDown, Term: g.set.Term() + 1})
	require.NoError(t, err)
	require.False(t, st.Primary)
	require.ErrorIs(t, g.promoter.replaceFailing(t.Context(), 99), errNotPrimary)
	require.Nil(t, g.group.Primary())
}

// TestNothingIsPromotedBesideNextPrimary guards against the loss of what the next primary has
// acknowledged, if another host has had it promoted meanwhile.
func TestNothingIsPromotedBesideNextPrimary(t *testing.T) {
	for i := range 3 {
		g := newFailingGroup(t, feature.Set{feature.FailingPrimary: true})
		g.writeFor(100 * time.Millisecond)
		old, err := g.promoter.assumedPrimary()
		require.NoError(t, err)
		g.promoter.checkMu.Lock()
		next := g.group.Members()[1+i%2]
		require.True(t, g.group.Promote(next))
		require.Eventually(t, func() bool { return g.group.Primary() == next }, 2*time.Second, time.Millisecond)
		require.ErrorIs(t, g.promoter.handOver(t.Context(), old, 99), errRecovered)
		require.Equal(t, next.ID, g.group.Primary().ID)
		g.promoter.checkMu.Unlock()
	}
}

// TestNextPrimaryIsNotReplaced guards against a healthy primary that is replaced because the
// one before it failed when this host began to take the lock.
func TestNextPrimaryIsNotReplaced(t *testing.T) {
	g := newFailingGroup(t, feature.Set{feature.FailingPrimary: true})
	g.promoter.checkMu.Lock()
	defer g.promoter.checkMu.Unlock()
	next := g.group.Members()[1]
	require.True(t, g.group.Promote(next))
	for end := clock.Now() + 5*time.Second; !g.promoter.isPrimary(next.ID) && clock.Now() < end; {
		g.writeFor(10 * time.Millisecond)
		if m, known := g.set.Member(next.ID); known {
			g.set.RefreshStatus(t.Context(), m)
		}
	}
	require.True(t, g.promoter.isPrimary(next.ID))
	require.ErrorIs(t, g.promoter.replaceFailing(t.Context(), 99), errRecovered)
	require.Zero(t, g.stepDowns.Load())
}

// TestNoStepDownWithoutTimeForPromotion guards against a group without a primary because the
// wait for a close replica has used up the time of the promotion.
func TestNoStepDownWithoutTimeForPromotion(t *testing.T) {
	g := newFailingGroup(t, feature.Set{feature.FailingPrimary: true})
	g.promoter.checkMu.Lock()
	defer g.promoter.checkMu.Unlock()
	ctx, cancel := context.WithTimeout(t.Context(), fullLogTimeout+newPrimaryTimeout/2)
	defer cancel()
	require.ErrorIs(t, g.promoter.replaceFailing(ctx, 99), errTooLate)
	require.Zero(t, g.stepDowns.Load())
}

// TestPrimaryLeadsAgainWithoutCompleteReplica guards against a group that stays without a
// primary because no replica receives the whole log after the step-down.
func TestPrimaryLeadsAgainWithoutCompleteReplica(t *testing.T) {
	g := newFailingGroup(t, feature.Set{feature.FailingPrimary: true})
	g.writeFor(100 * time.Millisecond)
	old, err := g.promoter.assumedPrimary()
	require.NoError(t, err)
	for _, m := range g.group.Members() {
		m.SetReplicationBlocked(true)
	}
	for range 5 {
		g.writeFor(time.Millisecond)
	}
	g.promoter.checkMu.Lock()
	defer g.promoter.checkMu.Unlock()
	require.NoError(t, g.promoter.handOver(t.Context(), old, 99))
	require.NotNil(t, g.group.Primary())
	require.Equal(t, old.ID(), g.group.Primary().ID)
	g.requireWritten()
}

// TestFailingPrimaryLeadsOnWhereDisabled guards against a change where the feature is
// disabled.
func TestFailingPrimaryLeadsOnWhereDisabled(t *testing.T) {
	g := newFailingGroup(t, feature.Set{feature.FailingPrimary: true})
	g.group.Primary().SetFailing(true)
	g.writeFor(time.Second)
	require.Zero(t, g.stepDowns.Load())
	require.Empty(t, g.results)
}
