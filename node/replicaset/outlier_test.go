package replicaset

import (
	"bufio"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/directory"
	"github.com/dotterelswitch/dotterelswitch/core/feature"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/outlier"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// fakeGate is a gate of a group whose replicas fail statements if failing is set.
type fakeGate struct {
	set     *Set
	failing bool
	// onReplicas counts the statements that ran on the replicas.
	onReplicas int
}

func newFakeGate(disabled ...feature.Name) *fakeGate {
	features := feature.Set{}
	for _, n := range disabled {
		features[n] = true
	}
	return &fakeGate{set: groupOfThree(Config{Host: "h1", Features: features})}
}

// run runs a job as Execute does, without a connection.
func (g *fakeGate) run(_ context.Context, j Job) Result {
	return g.set.executeJudged(j, func() Result {
		a := statement.Answer{Code: statement.OK, Signature: "s"}
		if j.Member != "p" {
			g.onReplicas++
			if g.failing {
				a = statement.ErrorAnswer(statement.Failure, "", statement.Idle)
			}
		}
		m, _ := g.set.Member(j.Member)
		now := clock.Now()
		m.observeOutcome(now, now, a, "")
		return Result{Answer: a}
	})
}

// jobFunc runs the jobs that a host sends to gates.
type jobFunc func(ctx context.Context, j Job) Result

func (f jobFunc) Run(ctx context.Context, _, _ string, j Job) Result { return f(ctx, j) }
func (jobFunc) Alive(context.Context, string) bool                   { return true }
func (jobFunc) Drop(string)                                          {}

// groupOfThree returns the set of a host for the primary p and the replicas r1 and r2. The
// hosts h1 and h2 are gates of all members.
func groupOfThree(cfg Config) *Set {
	cfg.Service, cfg.Log = "svc", zerolog.Nop()
	s := New(cfg)
	hosts := []gates.Host{{Name: "h0", Zone: "far", Address: "a0"}, {Name: "h1", Zone: "near", Address: "a1"}, {Name: "h2", Zone: "near", Address: "a2"}}
	var entries []directory.Member
	for _, id := range []string{"p", "r1", "r2"} {
		entries = append(entries, directory.Member{Entry: directory.Entry{ID: id, Service: "svc", Zone: "near", Slots: 2, Address: id}})
	}
	s.Update(entries, catalog.Service{MaxConnections: 16}, gates.NewFleet(hosts, nil))
	s.ObserveFloor(Floor{Position: logpos.Position{Term: 1, Offset: 1}, AsOf: clock.Now(), Leadership: Leadership{Primary: "p", Term: 1}})
	return s
}

// runReads sends reads through a host and counts the failed ones.
func runReads(t *testing.T, s *Set, n int) int {
	t.Helper()
	failed := 0
	for range n {
		out := s.Read(t.Context(), boundedRead(time.Minute))
		require.Contains(t, []statement.Code{statement.OK, statement.Failure}, out.Answer.Code, out.Cause)
		if out.Answer.Code == statement.Failure {
			failed++
		}
	}
	return failed
}

// TestReadsLeaveFailingMember guards against members that answer every statement with a
// failure, while their health check passes, and go on getting reads.
func TestReadsLeaveFailingMember(t *testing.T) {
	gate := newFakeGate()
	host := groupOfThree(Config{Host: "h0", Remote: jobFunc(gate.run)})
	gate.failing = true
	require.Less(t, runReads(t, host, 100), 20)
	before := gate.onReplicas
	require.Zero(t, runReads(t, host, 50))
	require.Equal(t, before, gate.onReplicas)
	require.Equal(t, 2, gate.set.TakeOutlierCounts().Ejections[outlier.Failing])
}

// TestMemberIsUsedAgainAfterRecovery guards against a member that stays ejected.
func TestMemberIsUsedAgainAfterRecovery(t *testing.T) {
	gate := newFakeGate()
	host := groupOfThree(Config{Host: "h0", Remote: jobFunc(gate.run)})
	gate.failing = true
	runReads(t, host, 50)
	gate.failing = false
	before := gate.onReplicas
	require.Eventually(t, func() bool { return runReads(t, host, 5) == 0 && gate.onReplicas > before+20 }, 10*time.Second, 20*time.Millisecond)
}

// eject makes a gate eject a member.
func eject(t *testing.T, gate *Set, id string) *Member {
	t.Helper()
	m, known := gate.Member(id)
	require.True(t, known)
	now := clock.Now()
	for range 6 {
		m.observeOutcome(now-time.Millisecond, now, statement.Answer{Code: statement.Failure}, "")
	}
	return m
}

// TestOnlyReadsAreRefused guards against a write, a commit or an open transaction that is
// lost because of an ejection.
func TestOnlyReadsAreRefused(t *testing.T) {
	gate := newFakeGate()
	m := eject(t, gate.set, "r1")
	for _, j := range []Job{
		{Kind: JobPrimaryRead}, {Kind: JobWrite}, {Kind: JobBegin, RequirePrimary: true}, {Kind: JobStatement}, {Kind: JobCommit}, {Kind: JobRollback},
		{Kind: JobRead, IgnoreEjection: true}, {Kind: JobBegin, IgnoreEjection: true},
	} {
		admission, _ := m.admitRead(j, clock.Now())
		require.Equal(t, outlier.Admitted, admission, "%+v", j)
	}
	for _, kind := range []JobKind{JobRead, JobBegin} {
		res := gate.set.Execute(t.Context(), Job{Kind: kind, Member: "r1", Request: boundedRead(time.Second)})
		var refused *RefusedError
		require.ErrorAs(t, res.Err, &refused)
		require.Zero(t, refused.RetryAfter)
		require.Equal(t, outlier.Failing, res.Ejection.Cause)
	}
}

// TestPrimaryIsJudgedAndServes guards against reads that a failing primary refuses, and
// against a failing primary about which no verdict is given.
func TestPrimaryIsJudgedAndServes(t *testing.T) {
	m := eject(t, newFakeGate().set, "p")
	require.Equal(t, outlier.Failing, m.Ejection(clock.Now()).Cause)
	admission, _ := m.admitRead(Job{Kind: JobRead}, clock.Now())
	require.Equal(t, outlier.Admitted, admission)
}

// TestPrimaryNeedsStrongerEvidence guards against a primary that is replaced for a share of
// failures that ejects a replica.
func TestPrimaryNeedsStrongerEvidence(t *testing.T) {
	for id, ejected := range map[string]bool{"p": false, "r1": true} {
		gate := newFakeGate().set
		now := clock.Now()
		for i := range 12 {
			for _, m := range gate.Members() {
				a := statement.Answer{Code: statement.OK}
				if m.id == id && i%3 == 2 {
					a.Code = statement.Failure
				}
				m.observeOutcome(now-time.Millisecond, now, a, "")
			}
		}
		m, _ := gate.Member(id)
		require.Equal(t, ejected, m.Ejection(now).Active(now), id)
	}
}

// TestNothingIsEjectedWithoutNeed guards against ejections where the feature is disabled or
// no other member can serve.
func TestNothingIsEjectedWithoutNeed(t *testing.T) {
	disabled := newFakeGate(feature.OutlierEjection)
	require.Zero(t, eject(t, disabled.set, "r1").Ejection(clock.Now()))
	lone := setBehindGates(&overloadedRemote{})
	require.Zero(t, eject(t, lone, "m").Ejection(clock.Now()))
}

// ejection returns the answer of a gate that refuses a read for an ejected member.
func ejection(cause outlier.Cause) Result {
	return Result{Err: errEjected, Ejection: outlier.Ejection{Cause: cause, Until: clock.Now() + time.Second}}
}

// TestGroupServesWithAllReplicasEjected guards against a group that serves no reads because
// all replicas are ejected and the primary does not answer them.
func TestGroupServesWithAllReplicasEjected(t *testing.T) {
	ignored := 0
	s := groupOfThree(Config{Host: "h0", Remote: jobFunc(func(_ context.Context, j Job) Result {
		switch {
		case j.Member == "p":
			return Result{Err: &RefusedError{Reason: "no connection", MemberDead: true}}
		case !j.IgnoreEjection:
			return ejection(outlier.Failing)
		}
		ignored++
		return Result{Answer: statement.Answer{Code: statement.OK, Signature: "s"}}
	})})
	for i := range 2 {
		out := s.Read(t.Context(), boundedRead(time.Second))
		require.Equal(t, statement.OK, out.Answer.Code, out.Cause)
		require.Equal(t, i+1, ignored)
	}
}

// TestEjectedReplicaServesWithoutFloorAndPrimary guards against reads that are refused by a
// host without a floor while the primary is down and the only replica is ejected.
func TestEjectedReplicaServesWithoutFloorAndPrimary(t *testing.T) {
	s := setWithoutConnections(jobFunc(func(_ context.Context, j Job) Result {
		switch {
		case j.Member == "primary":
			return Result{Err: &RefusedError{Reason: "the member does not answer", MemberDead: true}}
		case !j.IgnoreEjection:
			return ejection(outlier.Slow)
		}
		return Result{Answer: statement.Answer{Code: statement.OK, Signature: "s"}}
	}))
	for range 2 {
		out := s.Read(t.Context(), boundedRead500ms(time.Second))
		require.Equal(t, statement.OK, out.Answer.Code, out.Cause)
	}
}

// TestVerdictAfterChoiceIsObeyed guards against a read that runs on an ejected member while
// others can serve it, because the verdict came after the member was chosen: for example
// while another read became the probe.
func TestVerdictAfterChoiceIsObeyed(t *testing.T) {
	s := groupOfThree(Config{Host: "h0"})
	progress := newReadProgress()
	m, ejected, found := s.newAttempts(boundedRead(time.Second)).boundedReader(t.Context(), progress)
	require.True(t, found)
	m.observeRemoteOutcome(0, clock.Now(), ejection(outlier.Failing), "")
	r, err := readerOf(m, ejected, progress)
	require.NoError(t, err)
	require.False(t, r.ignoreEjection)
}

// TestOverloadedMemberPrecedesFailingOne guards against a crowd that an overloaded group
// sends to the one member that fails its statements. A slow member serves the crowd.
func TestOverloadedMemberPrecedesFailingOne(t *testing.T) {
	for cause, code := range map[outlier.Cause]statement.Code{outlier.Failing: statement.Busy, outlier.Slow: statement.OK} {
		s := groupOfThree(Config{Host: "h0", Remote: jobFunc(func(_ context.Context, j Job) Result {
			switch {
			case j.Member != "r1":
				return Result{Err: &RefusedError{Reason: "too many statements wait for the member", RetryAfter: time.Second}}
			case !j.IgnoreEjection:
				return ejection(cause)
			}
			return Result{Answer: statement.Answer{Code: statement.OK, Signature: "s"}}
		})})
		require.Equal(t, code, s.Read(t.Context(), boundedRead(time.Second)).Answer.Code, cause)
	}
}

// TestGateVerdictExpires guards against a verdict of a gate that is not taken, or that
// outlasts its time.
func TestGateVerdictExpires(t *testing.T) {
	s := groupOfThree(Config{Host: "h0"})
	m, _ := s.Member("r1")
	now := clock.Now()
	verdict := outlier.Ejection{Cause: outlier.Slow, Until: now + time.Second}
	answer := Result{Answer: statement.Answer{Code: statement.OK, Signature: "s"}, Ejection: verdict}
	m.observeRemoteOutcome(now, now, answer, "")
	answer.Ejection.Until -= 500 * time.Millisecond
	m.observeRemoteOutcome(now, now, answer, "")
	require.Equal(t, verdict, m.Ejection(now), "the verdict that lasts longest counts")
	require.True(t, m.candidate("p", "", now).Ejected)
	require.Zero(t, m.Ejection(now+time.Second))
	require.False(t, m.candidate("p", "", now+time.Second).Ejected)
}

// TestProbesRunOnOwnConnections guards against reads that go to an ejected member first for
// a probe that is due here, although another gate runs the team's statements and refuses
// them, and against a failing primary that no probe takes and that so ranks as healthy.
func TestProbesRunOnOwnConnections(t *testing.T) {
	s := groupOfThree(Config{Host: "h1", Features: feature.Set{}})
	replica, primary := eject(t, s, "r1"), eject(t, s, "p")
	now := clock.Now() + 1500*time.Millisecond
	for _, m := range []*Member{replica, primary} {
		m.outlier.reported = outlier.Ejection{Cause: outlier.Failing, Until: now + time.Second}
	}
	here, elsewhere := 0, 0
	for i := range 20 {
		team := fmt.Sprint("team ", i)
		require.True(t, primary.candidate("p", team, now).Ejected)
		if len(replica.route(team, now)) > 0 {
			elsewhere++
			require.True(t, replica.candidate("p", team, now).Ejected)
		} else {
			here++
			require.False(t, replica.candidate("p", team, now).Ejected)
		}
	}
	require.NotZero(t, here)
	require.NotZero(t, elsewhere)
}

// TestAbsurdVerdictIsIgnored guards against a gate that takes a member from all hosts for an
// hour, or for a reason that this version does not know.
func TestAbsurdVerdictIsIgnored(t *testing.T) {
	s := groupOfThree(Config{Host: "h0"})
	m, _ := s.Member("r1")
	now := clock.Now()
	for _, e := range []outlier.Ejection{{Cause: outlier.Failing, Until: now + time.Hour}, {Until: now + time.Second}} {
		m.observeRemoteOutcome(now, now, Result{Answer: statement.Answer{Code: statement.OK, Signature: "s"}, Ejection: e}, "")
	}
	require.Zero(t, m.Ejection(now))
	require.Equal(t, 2, s.TakeOutlierCounts().Invalid)
}

// failingProtocol is the protocol of a member that answers every operation with a failure.
type failingProtocol struct{ Protocol }

func (failingProtocol) Encode(statement.Operation) ([]byte, error) { return []byte("x"), nil }

func (failingProtocol) ReadAnswer(*bufio.Reader) (statement.Answer, error) {
	return statement.ErrorAnswer(statement.Failure, "", statement.Idle), nil
}

// TestAnswersOfMemberAreJudged guards against failures that are not recorded, and against a
// member that is judged by its answers to the proxy's own operations.
func TestAnswersOfMemberAreJudged(t *testing.T) {
	for verb, ejected := range map[statement.Verb]bool{statement.Forward: true, statement.ExecutePrepared: true, statement.ReportStatus: false} {
		m, _ := groupOfThree(Config{Host: "h1"}).Member("r1")
		for range 6 {
			c, _ := idleConn(t)
			c.proto, c.member = failingProtocol{}, m
			_, err := c.Do(statement.Operation{Verb: verb}, clock.Now()+time.Second)
			require.NoError(t, err)
		}
		require.Equal(t, ejected, m.Ejection(clock.Now()) != outlier.Ejection{})
	}
}
