package replicaset

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/directory"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/mechanism"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// quietRemote stands for the gates of a group. The replica's gates know a floor
// or can ask for one, unless they are ignorant.
type quietRemote struct {
	ignorant             bool
	onPrimary, onReplica int
}

func (r *quietRemote) Run(_ context.Context, _, _ string, j Job) Result {
	if j.Member == "primary" {
		r.onPrimary++
		return Result{Answer: statement.Answer{Code: statement.OK, Signature: "p"}}
	}
	r.onReplica++
	if r.ignorant && j.Floor.IsZero() {
		return Result{Err: errUnbounded}
	}
	return Result{Answer: statement.Answer{Code: statement.OK, Signature: "r"}}
}

func (r *quietRemote) Alive(context.Context, string) bool { return true }

func (*quietRemote) Drop(string) {}

// hostOfLargeFleet returns the set of a host that keeps no connection, and whose
// newest floor is older than any read may be: with hundreds of hosts, one has
// less than a statement a second for each group.
func hostOfLargeFleet(r Remote, without ...mechanism.Name) *Set {
	left := mechanism.Disabled{}
	for _, n := range without {
		left[n] = true
	}
	s := New(Config{Service: "svc", Remote: r, Host: "h0", Without: left, Log: zerolog.Nop()})
	hosts := []gates.Host{{Name: "h0", Zone: "far", Address: "a0"}, {Name: "h1", Zone: "near", Address: "a1"}, {Name: "h2", Zone: "near", Address: "a2"}}
	member := func(id string) directory.Member {
		return directory.Member{Entry: directory.Entry{ID: id, Service: "svc", Zone: "near", Slots: 2}}
	}
	s.Update([]directory.Member{member("primary"), member("replica")}, catalog.Service{MaxConnections: 16}, gates.NewFleet(hosts, nil))
	s.LearnFloor(Floor{Position: logpos.Position{Term: 1, Offset: 7}, Sent: clock.Now() - 5*time.Second, Lead: Lead{Primary: "primary", Term: 1}})
	return s
}

// TestReadOfAQuietHostGoesToAReplica: a host that knows no floor sends its reads
// to a replica's gate, which sees enough of them to know one, and spares the
// primary.
func TestReadOfAQuietHostGoesToAReplica(t *testing.T) {
	for range 20 {
		r := &quietRemote{}
		out := hostOfLargeFleet(r).Read(context.Background(), lateRead(time.Second))
		require.Equal(t, statement.OK, out.Answer.Code, out.Cause)
		require.Equal(t, 1, r.onReplica)
		require.Zero(t, r.onPrimary)
		require.Equal(t, ByReplica, out.Source)
	}
}

// TestReadThatNobodyBoundsIsGuarded: a gate that learns of no floor either says
// so once; the primary proves its lead then.
func TestReadThatNobodyBoundsIsGuarded(t *testing.T) {
	r := &quietRemote{ignorant: true}
	out := hostOfLargeFleet(r).Read(context.Background(), lateRead(time.Second))
	require.Equal(t, statement.OK, out.Answer.Code, out.Cause)
	require.Equal(t, 1, r.onReplica)
	require.Equal(t, 1, r.onPrimary)
	require.Equal(t, PrimaryNoFloor, out.Source)
}

// TestPrimaryRouteNeverTakesAnUnboundedReader: whatever a gate knows, only the
// primary serves such a route.
func TestPrimaryRouteNeverTakesAnUnboundedReader(t *testing.T) {
	r := &quietRemote{}
	w := lateRead(time.Second)
	w.Route.Consistency = catalog.Primary
	hostOfLargeFleet(r).Read(context.Background(), w)
	require.Zero(t, r.onReplica)
}

func TestGateFloorsCanBeLeftOut(t *testing.T) {
	r := &quietRemote{}
	hostOfLargeFleet(r, mechanism.GateFloors).Read(context.Background(), lateRead(time.Second))
	require.Zero(t, r.onReplica)
}

// TestGateFindsTheFloorOfARead: a gate that has none asks those who know, and
// refuses at once what stays unbounded, before it takes a connection for it.
func TestGateFindsTheFloorOfARead(t *testing.T) {
	s := hostOfLargeFleet(nil)
	j := Job{Kind: JobRead, Member: "replica", Work: lateRead(time.Second)}
	asked := 0
	s.ask = func(string) { asked++ }
	require.ErrorIs(t, s.bound(context.Background(), j), errUnbounded)
	require.Positive(t, asked)

	s.ask = func(string) {
		go s.LearnFloor(Floor{Position: logpos.Position{Term: 1, Offset: 9}, Sent: clock.Now(), Lead: Lead{Primary: "primary", Term: 1}})
	}
	require.NoError(t, s.bound(context.Background(), j))

	j.Kind, j.Plain = JobBegin, true
	s.ask = func(string) { t.Error("a transaction on the primary needs no floor") }
	require.NoError(t, s.bound(context.Background(), j))
}
