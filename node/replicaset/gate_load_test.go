package replicaset

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/connpool"
	"github.com/dotterelswitch/dotterelswitch/core/directory"
	"github.com/dotterelswitch/dotterelswitch/core/feature"
	"github.com/dotterelswitch/dotterelswitch/core/gateload"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// loadRemote simulates gates that report a wait for each member; members without an entry
// have gates of the previous version.
type loadRemote struct {
	waits map[string]time.Duration
	calls map[string]int
}

func (r *loadRemote) Run(_ context.Context, _, _ string, j Job) Result {
	r.calls[j.Member]++
	return r.answer(j.Member)
}

func (r *loadRemote) answer(member string) Result {
	res := Result{Answer: statement.Answer{Code: statement.OK, Signature: member}}
	if wait, reports := r.waits[member]; reports {
		res.Load = &gateload.Report{Running: 7, Capacity: 7, Waiting: 3, ExpectedWait: []time.Duration{wait}}
	}
	return res
}

func (r *loadRemote) Alive(context.Context, string) bool { return true }

func (*loadRemote) Drop(string) {}

// setWithReports returns the set of a host that is no gate of a primary and two replicas,
// and has heard of each member's gates once.
func setWithReports(r *loadRemote, log zerolog.Logger, disabled ...feature.Name) *Set {
	features := feature.Set{}
	for _, n := range disabled {
		features[n] = true
	}
	r.calls = map[string]int{}
	s := New(Config{Service: "svc", Remote: r, Host: "h0", Features: features, Log: log})
	hosts := []gates.Host{{Name: "h0", Zone: "far", Address: "a0"}, {Name: "h1", Zone: "near", Address: "a1"}, {Name: "h2", Zone: "near", Address: "a2"}}
	var members []directory.Member
	for _, id := range []string{"primary", "r1", "r2"} {
		members = append(members, directory.Member{Entry: directory.Entry{ID: id, Service: "svc", Zone: "near", Slots: 2}})
	}
	s.Update(members, catalog.Service{MaxConnections: 16}, gates.NewFleet(hosts, nil))
	s.ObserveFloor(Floor{Position: logpos.Position{Term: 1, Offset: 7}, AsOf: clock.Now(), Leadership: Leadership{Primary: "primary", Term: 1}})
	for _, e := range members {
		m, _ := s.Member(e.ID)
		gate := s.nextGate(m, "", clock.Now())
		m.callEnded(gateload.Call{Gate: gate, StartedAt: clock.Now()}, r.answer(m.id), clock.Now())
	}
	return s
}

func order(s *Set, now time.Duration) []string {
	req := boundedRead(time.Second)
	var out []string
	for _, c := range s.rankReaders(&req, nil, logpos.Position{}, now) {
		out = append(out, c.ID)
	}
	return out
}

// TestSlowGateLosesReads guards against reads that go on to a replica whose gate reports a
// long queue while another's reports none.
func TestSlowGateLosesReads(t *testing.T) {
	r := &loadRemote{waits: map[string]time.Duration{"primary": 0, "r1": 400 * time.Millisecond, "r2": 0}}
	s := setWithReports(r, zerolog.Nop())
	for range 20 {
		require.Equal(t, statement.OK, s.Read(context.Background(), boundedRead(time.Second)).Answer.Code)
	}
	require.Equal(t, map[string]int{"r2": 20}, r.calls)
}

// TestOldReportNotUsed guards against avoiding a replica because of the load that its gate
// had a second ago.
func TestOldReportNotUsed(t *testing.T) {
	s := setWithReports(&loadRemote{waits: map[string]time.Duration{"r1": 400 * time.Millisecond, "r2": 0}}, zerolog.Nop())
	now := clock.Now()
	require.Equal(t, "r2", order(s, now)[0])
	m, _ := s.Member("r2")
	m.responseTime = 100 * time.Millisecond
	require.Equal(t, "r1", order(s, now+gateload.MaxAge)[0])
}

// TestInvalidReportIgnored guards against a choice by absurd figures, and against a log
// line for each answer of a faulty gate.
func TestInvalidReportIgnored(t *testing.T) {
	var log bytes.Buffer
	s := setWithReports(&loadRemote{waits: map[string]time.Duration{"r1": -time.Second, "r2": time.Hour}}, zerolog.New(&log))
	require.Equal(t, LoadCounts{InvalidReports: 2}, s.TakeLoadCounts())
	require.Zero(t, s.TakeLoadCounts())
	require.Equal(t, 1, strings.Count(log.String(), `"name":"load_report_invalid"`))
	for _, m := range s.MemberStats(clock.Now()) {
		require.Empty(t, m.GateLoads)
	}
}

// TestNoReportsNoChange guards against any effect of reports with gates of the previous
// version, or where the feature is disabled.
func TestNoReportsNoChange(t *testing.T) {
	full := map[string]time.Duration{"primary": time.Minute, "r1": time.Minute, "r2": time.Minute}
	for name, s := range map[string]*Set{
		"previous version": setWithReports(&loadRemote{}, zerolog.Nop()),
		"disabled":         setWithReports(&loadRemote{waits: full}, zerolog.Nop(), feature.LoadReports),
	} {
		t.Run(name, func(t *testing.T) {
			for id, responseTime := range map[string]time.Duration{"r1": 20 * time.Millisecond, "r2": 10 * time.Millisecond} {
				m, _ := s.Member(id)
				m.responseTime = responseTime
				m.callStarted(gateload.Call{Gate: "a1", StartedAt: clock.Now() - time.Minute})
			}
			require.Equal(t, []string{"r2", "r1", "primary"}, order(s, clock.Now()))
			require.Equal(t, statement.OK, s.Read(context.Background(), boundedRead(time.Second)).Answer.Code)
			require.Zero(t, s.TakeLoadCounts())
		})
	}
}

// TestRefusedByReports guards against carrying a read to another region to have it refused
// there, and against a retry time that no member stands for.
func TestRefusedByReports(t *testing.T) {
	r := &loadRemote{waits: map[string]time.Duration{"primary": 5 * time.Second, "r1": 3 * time.Second, "r2": 4 * time.Second}}
	s := setWithReports(r, zerolog.Nop())
	out := s.Read(context.Background(), boundedRead(time.Second))
	require.Equal(t, statement.Busy, out.Answer.Code)
	require.Empty(t, r.calls)
	var ms int
	_, err := fmt.Sscanf(out.Answer.Detail, "not run, retry after %d ms", &ms)
	require.NoError(t, err)
	require.InDelta(t, 3000, ms, 500, "the shortest wait, less the report's age")
	require.Equal(t, LoadCounts{RefusedByReports: 1}, s.TakeLoadCounts())
}

// TestRefusedByReportsAfterRun guards against a refusal that says that a read has not run
// although the answer of an earlier attempt was lost.
func TestRefusedByReportsAfterRun(t *testing.T) {
	s := setWithReports(&loadRemote{waits: map[string]time.Duration{"primary": 5 * time.Second, "r1": 5 * time.Second, "r2": 5 * time.Second}}, zerolog.Nop())
	a := s.newAttempts(boundedRead(time.Second))
	a.outcome.Runs = 1
	a.lastErr = a.refusalByReports(clock.Now())
	require.Error(t, a.lastErr)
	answer := a.refusal().Answer
	require.Equal(t, statement.Aborted, answer.Code)
	require.NotContains(t, answer.Detail, "not run")
}

// TestServableReadNotRefused guards against refusing a read that a member may serve.
func TestServableReadNotRefused(t *testing.T) {
	for name, waits := range map[string]map[string]time.Duration{
		"one member has not reported": {"primary": 5 * time.Second, "r1": 5 * time.Second},
		"one member is in time":       {"primary": 5 * time.Second, "r1": 5 * time.Second, "r2": 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			r := &loadRemote{waits: waits}
			out := setWithReports(r, zerolog.Nop()).Read(context.Background(), boundedRead(time.Second))
			require.Equal(t, statement.OK, out.Answer.Code)
			require.Equal(t, map[string]int{"r2": 1}, r.calls)
		})
	}
}

// TestRefusalsEndWithoutNewReports guards against a host that refuses reads for good, because
// without reads it gets no reports.
func TestRefusalsEndWithoutNewReports(t *testing.T) {
	r := &loadRemote{waits: map[string]time.Duration{"primary": time.Minute, "r1": time.Minute, "r2": time.Minute}}
	s := setWithReports(r, zerolog.Nop())
	a, now := s.newAttempts(boundedRead(time.Second)), clock.Now()
	require.Error(t, a.refusalByReports(now))
	m, _ := s.Member("r1")
	m.callEnded(gateload.Call{Gate: s.nextGate(m, "", now)}, r.answer("r1"), now+gateload.MaxAge)
	require.NoError(t, a.refusalByReports(now+gateload.MaxAge), "only one report is not old")
}

// TestRefusalOnPrimaryRoute guards against counting replicas, which cannot serve the read.
func TestRefusalOnPrimaryRoute(t *testing.T) {
	for wait, refused := range map[time.Duration]bool{0: false, 5 * time.Second: true} {
		s := setWithReports(&loadRemote{waits: map[string]time.Duration{"primary": wait, "r1": 5*time.Second - wait, "r2": 5*time.Second - wait}}, zerolog.Nop())
		req := boundedRead(time.Second)
		req.Route.Consistency = catalog.Primary
		require.Equal(t, refused, s.newAttempts(req).refusalByReports(clock.Now()) != nil)
	}
}

// TestFreeGateServesAfterStartDeadline guards against refusing a read that a gate runs at once,
// because its start deadline has passed while another member was tried.
func TestFreeGateServesAfterStartDeadline(t *testing.T) {
	r := &loadRemote{waits: map[string]time.Duration{"primary": 5 * time.Second, "r1": 5 * time.Second, "r2": 0}}
	s := setWithReports(r, zerolog.Nop())
	req := boundedRead(time.Second)
	req.StartDeadline = clock.Now() - time.Millisecond
	require.Equal(t, statement.OK, s.Read(context.Background(), req).Answer.Code)
	require.Equal(t, map[string]int{"r2": 1}, r.calls)
	require.Zero(t, s.TakeLoadCounts())
}

// TestFailedGateReportForgotten guards against refusals that go on because of a gate
// that is gone.
func TestFailedGateReportForgotten(t *testing.T) {
	r := &loadRemote{waits: map[string]time.Duration{"primary": 5 * time.Second, "r1": 5 * time.Second, "r2": 5 * time.Second}}
	s := setWithReports(r, zerolog.Nop())
	m, _ := s.Member("r2")
	call := gateload.Call{Gate: s.nextGate(m, "", clock.Now())}
	m.callEnded(call, Result{Err: &GateError{Address: call.Gate}}, clock.Now())
	require.Equal(t, statement.OK, s.Read(context.Background(), boundedRead(time.Second)).Answer.Code)
}

// TestGateReportsLoad guards against reports from hosts that are no gate of the member, or
// from gates with the feature disabled.
func TestGateReportsLoad(t *testing.T) {
	alone := func(f feature.Set) *Set {
		s := New(Config{Service: "svc", Host: "h0", Features: f, Log: zerolog.Nop()})
		s.Update([]directory.Member{{Entry: directory.Entry{ID: "m", Service: "svc", Zone: "near", Slots: 2}}}, catalog.Service{MaxConnections: 16},
			gates.NewFleet([]gates.Host{{Name: "h0", Zone: "near", Address: "a0"}}, nil))
		return s
	}
	load := alone(nil).Load("m")
	require.NotNil(t, load)
	require.True(t, load.Valid())
	require.Nil(t, alone(nil).Load("unknown"))
	require.Nil(t, alone(feature.Set{feature.LoadReports: true}).Load("m"))
	require.Nil(t, setBehindGates(&loadRemote{}).Load("m"))
}

// TestReportOfLongWaitIsValid guards against a gate whose report is ignored because it is
// so loaded that the wait exceeds what a report may say.
func TestReportOfLongWaitIsValid(t *testing.T) {
	s := New(Config{Service: "svc", Host: "h0", Log: zerolog.Nop()})
	s.Update([]directory.Member{{Entry: directory.Entry{ID: "m", Service: "svc", Zone: "near", Slots: 2}}}, catalog.Service{MaxConnections: 16},
		gates.NewFleet([]gates.Host{{Name: "h0", Zone: "near", Address: "a0"}}, nil))
	m, _ := s.Member("m")
	m.pool.SetLimits(connpool.Limits{MaxOpen: 1, MaxWaiting: 10})
	w := connpool.Waiter{ID: 1, TargetDeadline: time.Hour, OnTimeUntil: time.Hour, StartDeadline: time.Hour}
	m.pool.Acquire(w, 0)
	m.pool.BeginOpen(0)
	m.pool.Opened(connpool.Conn{}, 0)
	m.pool.Released(connpool.Conn{}, 24*time.Hour, 0)
	require.Equal(t, connpool.Granted, m.pool.Acquire(w, 0).Outcome)
	load := s.Load("m")
	require.NotNil(t, load)
	require.Equal(t, gateload.MaxWait, load.WaitOf(0))
	require.True(t, load.Valid())
}
