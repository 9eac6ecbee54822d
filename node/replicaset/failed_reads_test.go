package replicaset

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/directory"
	"github.com/dotterelswitch/dotterelswitch/core/feature"
	"github.com/dotterelswitch/dotterelswitch/core/gateload"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/outlier"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// failingRemote simulates the gates of a group in which some members answer every
// statement with a failure and some gates lose every answer.
type failingRemote struct {
	failing, lossy map[string]bool
	// runs lists the members that ran something, in order.
	runs []string
	kind JobKind
}

func failingMembers(ids ...string) *failingRemote {
	r := &failingRemote{failing: map[string]bool{}, lossy: map[string]bool{}}
	for _, id := range ids {
		r.failing[id] = true
	}
	return r
}

func (r *failingRemote) Run(_ context.Context, address, _ string, j Job) Result {
	r.runs, r.kind = append(r.runs, j.Member), j.Kind
	if r.lossy[j.Member] {
		return Result{Err: &GateError{Address: address, JobMayHaveArrived: true, Err: errors.New("connection reset")}}
	}
	if r.failing[j.Member] {
		return Result{Answer: statement.Answer{Code: statement.Failure, Detail: "failed by " + j.Member, Signature: j.Member}}
	}
	return Result{Answer: statement.Answer{Code: statement.OK, Signature: j.Member}, Tx: 1}
}

func (*failingRemote) Alive(context.Context, string) bool { return true }

func (*failingRemote) Drop(string) {}

// setWithTwoReplicas returns the set of a host that is no gate, with a primary "p", the
// replicas "r1" and "r2" and a floor that all have reached. "r1" is the nearest.
func setWithTwoReplicas(r Remote, disabled ...feature.Name) *Set {
	features := feature.Set{}
	for _, n := range disabled {
		features[n] = true
	}
	topology := Topology{Zone: "own", Regions: map[string]string{"own": "a", "near": "a", "far": "b"}}
	refuse := func(context.Context, string, string) (net.Conn, error) {
		return nil, errors.New("no connections of its own")
	}
	s := New(Config{Service: "svc", Remote: r, Dial: refuse, Host: "h0", Features: features, Topology: topology, Log: zerolog.Nop()})
	hosts := []gates.Host{{Name: "h0", Zone: "own", Address: "a0"}}
	for i, zone := range []string{"near", "near", "far", "far"} {
		hosts = append(hosts, gates.Host{Name: fmt.Sprint("h", i+1), Zone: zone, Address: fmt.Sprint("a", i+1)})
	}
	member := func(id, zone string) directory.Member {
		return directory.Member{Entry: directory.Entry{ID: id, Service: "svc", Zone: zone, Slots: 2}}
	}
	s.Update([]directory.Member{member("p", "far"), member("r1", "near"), member("r2", "far")}, catalog.Service{MaxConnections: 16}, gates.NewFleet(hosts, nil))
	s.ObserveFloor(Floor{Position: logpos.Position{Term: 1, Offset: 1}, AsOf: clock.Now(), Leadership: Leadership{Primary: "p", Term: 1}})
	return s
}

// grants counts the requests for the grant of a second run.
type grants struct {
	asked  int
	refuse bool
}

func (g *grants) admit(context.Context) bool {
	g.asked++
	return !g.refuse
}

// readWithGrants returns a read whose second runs need grants.
func readWithGrants(g *grants) Request {
	req := boundedRead(time.Minute)
	req.ReadOnly, req.AdmitRerun = true, g.admit
	return req
}

// TestFailedReadIsServedByAnotherMember guards against leaving the failure of one member
// to the caller while another member can serve, and against a second run that the team's
// limit does not count.
func TestFailedReadIsServedByAnotherMember(t *testing.T) {
	r, g := failingMembers("r1"), &grants{}
	out := setWithTwoReplicas(r).Read(t.Context(), readWithGrants(g))
	require.Equal(t, statement.OK, out.Answer.Code, out.Cause)
	require.Equal(t, []string{"r1", "r2"}, r.runs)
	require.Equal(t, "r2", out.Member)
	require.Equal(t, 2, out.Runs)
	require.Equal(t, 1, g.asked)
	require.Equal(t, ServedElsewhere, out.FailedRead)
}

// TestFailedBeginIsServedByAnotherMember guards against a refused read-only transaction.
// Its begin runs no statement of the caller, so it needs no grant.
func TestFailedBeginIsServedByAnotherMember(t *testing.T) {
	r, g := failingMembers("r1"), &grants{}
	tx, out := setWithTwoReplicas(r).Begin(t.Context(), readWithGrants(g))
	require.NotNil(t, tx, out.Cause)
	require.Equal(t, "r2", tx.Member())
	require.Equal(t, []string{"r1", "r2"}, r.runs)
	require.Zero(t, g.asked)
	require.Equal(t, ServedElsewhere, out.FailedRead)
}

// TestFailureIsDeliveredAsItIs guards against a refusal that says "not run" in place of
// the answer of the member that failed, for each reason not to try another one.
func TestFailureIsDeliveredAsItIs(t *testing.T) {
	for _, c := range []struct {
		name     string
		failing  []string
		prepare  func(*Set, *Request)
		expected FailedRead
		runs     int
	}{
		{"empty budget", []string{"r1"}, func(s *Set, _ *Request) { drainBudget(s) }, BudgetEmpty, 1},
		{"deadline too near", []string{"r1"}, func(_ *Set, req *Request) { req.StartDeadline = clock.Now() }, TooLate, 1},
		{"only the primary can answer", []string{"p"}, func(_ *Set, req *Request) {
			req.Route.Consistency = catalog.Primary
		}, PrimaryOnly, 1},
		{"other members are out of reach", []string{"r1"}, func(s *Set, _ *Request) {
			for _, id := range []string{"p", "r2"} {
				m, _ := s.Member(id)
				m.observeWrongMember(clock.Now())
			}
		}, NoOtherMember, 1},
		{"all members fail", []string{"p", "r1", "r2"}, func(*Set, *Request) {}, UnservedElsewhere, 3},
	} {
		for _, begin := range []bool{false, true} {
			if begin && c.expected == PrimaryOnly {
				// A replica cannot serve the begin of a transaction with primary consistency.
				continue
			}
			t.Run(fmt.Sprintf("%s, begin %v", c.name, begin), func(t *testing.T) {
				r, g := failingMembers(c.failing...), &grants{}
				s, req := setWithTwoReplicas(r), readWithGrants(g)
				c.prepare(s, &req)
				var out Outcome
				if begin {
					_, out = s.Begin(t.Context(), req)
				} else {
					out = s.Read(t.Context(), req)
				}
				require.Equal(t, statement.Failure, out.Answer.Code, out.Cause)
				require.Equal(t, "failed by "+out.Member, out.Answer.Detail)
				require.Equal(t, c.expected, out.FailedRead)
				require.Len(t, r.runs, c.runs)
			})
		}
	}
}

// drainBudget takes all tokens of a set.
func drainBudget(s *Set) {
	for s.rerunBudget.take() {
	}
}

// TestRefusedGrantLeavesBudget guards against a second run above the team's limit, and
// against a team over its limit that uses up the budget of the others.
func TestRefusedGrantLeavesBudget(t *testing.T) {
	r, g := failingMembers("r1"), &grants{refuse: true}
	s := setWithTwoReplicas(r)
	for range 2 * rerunReserve {
		out := s.Read(t.Context(), readWithGrants(g))
		require.Equal(t, statement.Failure, out.Answer.Code)
		require.Equal(t, GrantRefused, out.FailedRead)
		require.Equal(t, 1, out.Runs)
	}
	require.NotContains(t, r.runs, "r2")
	require.NotContains(t, r.runs, "p")
	require.Equal(t, 2*rerunReserve, g.asked)
}

// TestLostAnswerOfSecondRunDeliversFailure guards against hiding a failure that is known
// behind a second run without an answer.
func TestLostAnswerOfSecondRunDeliversFailure(t *testing.T) {
	r, g := failingMembers("r1"), &grants{}
	r.lossy["r2"], r.lossy["p"] = true, true
	out := setWithTwoReplicas(r).Read(t.Context(), readWithGrants(g))
	require.Equal(t, statement.Failure, out.Answer.Code)
	require.Equal(t, "r1", out.Member)
	require.Equal(t, len(r.runs), out.Runs)
	require.LessOrEqual(t, out.Runs-1, g.asked, "each run after the first one needs a grant")
}

// TestTimeoutOfSecondRunDeliversFailure guards against a timeout, after which a caller does
// not repeat the read, in place of a failure, after which it does.
func TestTimeoutOfSecondRunDeliversFailure(t *testing.T) {
	for _, begin := range []bool{false, true} {
		run := func(_ context.Context, j Job) Result {
			if j.Member == "r1" {
				return Result{Answer: statement.Answer{Code: statement.Failure, Signature: j.Member}}
			}
			return Result{Answer: statement.Answer{Code: statement.TimedOut, Signature: j.Member}}
		}
		s, req := setWithTwoReplicas(jobFunc(run)), readWithGrants(&grants{})
		out := Outcome{}
		if begin {
			_, out = s.Begin(t.Context(), req)
		} else {
			out = s.Read(t.Context(), req)
		}
		require.Equal(t, statement.Failure, out.Answer.Code, "begin %v", begin)
		require.Equal(t, "r1", out.Member)
		require.Equal(t, UnservedElsewhere, out.FailedRead)
	}
}

// TestRefusalsDoNotReplaceFailure guards against "not run" in place of a failure, by the
// members whose queues are full and by the load reports that say so.
func TestRefusalsDoNotReplaceFailure(t *testing.T) {
	run := func(_ context.Context, j Job) Result {
		load := &gateload.Report{Running: 2, Capacity: 2, Waiting: 99, ExpectedWait: []time.Duration{time.Second, time.Second, time.Second, time.Second}}
		if j.Member == "r1" {
			return Result{Answer: statement.Answer{Code: statement.Failure, Signature: j.Member}, Load: load}
		}
		return Result{Err: &RefusedError{Reason: "queue full", RetryAfter: time.Second}, Load: load}
	}
	s, req := setWithTwoReplicas(jobFunc(run)), readWithGrants(&grants{})
	req.StartDeadline = clock.Now() + 500*time.Millisecond
	out := s.Read(t.Context(), req)
	require.Equal(t, statement.Failure, out.Answer.Code, out.Answer.Detail)
	require.Equal(t, UnservedElsewhere, out.FailedRead)
	require.Equal(t, 1, out.Runs)
	out = s.Read(t.Context(), req)
	require.Equal(t, statement.Busy, out.Answer.Code, "a read that no member has run")
	require.Zero(t, out.Runs)
}

// TestFailedWriteIsNotRepeated guards against a write, a step or a commit of a transaction
// that runs twice.
func TestFailedWriteIsNotRepeated(t *testing.T) {
	r, g := failingMembers("p", "r1", "r2"), &grants{}
	s, req := setWithTwoReplicas(r), readWithGrants(g)
	req.Statement.Kind, req.ReadOnly = statement.Write, false
	out := s.Write(t.Context(), req)
	require.Equal(t, statement.Failure, out.Answer.Code)
	require.Equal(t, []string{"p"}, r.runs)

	for _, kind := range []JobKind{JobStatement, JobCommit} {
		delete(r.failing, "r1")
		r.runs = nil
		tx, _ := s.Begin(t.Context(), readWithGrants(g))
		require.NotNil(t, tx)
		r.failing["r1"] = true
		a := statement.Answer{}
		if kind == JobCommit {
			a = tx.Commit(t.Context(), req, false)
		} else {
			a = tx.Do(t.Context(), req)
		}
		require.Equal(t, statement.Failure, a.Code)
		require.Equal(t, []string{"r1", "r1"}, r.runs)
		require.Equal(t, kind, r.kind)
	}
	require.Zero(t, g.asked)
}

// TestDisabledFeatureRunsReadOnce guards against a second run where the feature is
// disabled.
func TestDisabledFeatureRunsReadOnce(t *testing.T) {
	r, g := failingMembers("r1"), &grants{}
	out := setWithTwoReplicas(r, feature.FailedReadRetry).Read(t.Context(), readWithGrants(g))
	require.Equal(t, statement.Failure, out.Answer.Code)
	require.Equal(t, NotFailed, out.FailedRead)
	require.Equal(t, []string{"r1"}, r.runs)
}

// TestRerunsAddAFifthOfLoadAtMost guards against reruns that multiply the load of a group
// in which one member, or every member, fails what it runs.
func TestRerunsAddAFifthOfLoadAtMost(t *testing.T) {
	const reads = 2000
	for seed := range uint64(5) {
		for _, failing := range [][]string{{"r1"}, {"p", "r1", "r2"}} {
			t.Run(fmt.Sprint("seed ", seed, " failing ", failing), func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 7))
				r := failingMembers()
				s := setWithTwoReplicas(r)
				served := 0
				for range reads {
					// A member fails for some time, then works again.
					if rng.IntN(100) == 0 {
						for _, id := range failing {
							r.failing[id] = !r.failing[id]
						}
					}
					if out := s.Read(t.Context(), readWithGrants(&grants{})); out.Answer.Code == statement.OK {
						served++
					}
				}
				reruns := len(r.runs) - reads
				t.Logf("%d reads, %d second runs, %d served", reads, reruns, served)
				require.LessOrEqual(t, reruns, int(rerunRatio*reads)+rerunReserve)
				require.Positive(t, reruns)
			})
		}
	}
}

// TestFailedReadAvoidsEjectedMember guards against a second run on a member that fails as
// well, and against a failure that a slow member could have served.
func TestFailedReadAvoidsEjectedMember(t *testing.T) {
	for cause, expected := range map[outlier.Cause]FailedRead{outlier.Failing: NoOtherMember, outlier.Slow: ServedElsewhere} {
		r := failingMembers("r1")
		s := setWithTwoReplicas(r)
		primary, _ := s.Member("p")
		primary.observeWrongMember(clock.Now())
		other, _ := s.Member("r2")
		other.observeRemoteOutcome(clock.Now(), clock.Now(), Result{Ejection: outlier.Ejection{Cause: cause, Until: clock.Now() + time.Second}}, "")
		out := s.Read(t.Context(), readWithGrants(&grants{}))
		require.Equal(t, expected, out.FailedRead, cause)
	}
}

// boundingRemote adds a floor as of now to the answers of the primary.
type boundingRemote struct{ *failingRemote }

func (r boundingRemote) Run(ctx context.Context, address, service string, j Job) Result {
	res := r.failingRemote.Run(ctx, address, service, j)
	if j.Member == "p" {
		res.Floor = Floor{Position: logpos.Position{Term: 1, Offset: 1}, AsOf: clock.Now(), Leadership: Leadership{Primary: "p", Term: 1}}
	}
	return res
}

// TestReplicaServesWhatFailingPrimaryBounds guards against reads that are lost because only
// the primary could bound their age and fails them: its answer brings a floor, with which a
// replica can serve them.
func TestReplicaServesWhatFailingPrimaryBounds(t *testing.T) {
	r, g := failingMembers("p"), &grants{}
	s := setWithTwoReplicas(boundingRemote{r}, feature.GateFloors)
	req := readWithGrants(g)
	req.Route.MaxStaleness = stalenessMargin + 50*time.Millisecond
	require.Eventually(t, func() bool { _, found := s.floor(req, clock.Now()); return !found }, time.Second, time.Millisecond)
	out := s.Read(t.Context(), req)
	require.Equal(t, statement.OK, out.Answer.Code, out.Cause)
	require.Equal(t, []string{"p", "r1"}, r.runs)
	require.Equal(t, 1, g.asked)
	require.Equal(t, ServedElsewhere, out.FailedRead)
}
