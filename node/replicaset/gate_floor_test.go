package replicaset

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/directory"
	"github.com/dotterelswitch/dotterelswitch/core/feature"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// floorRemote simulates the gates of a group. The replica's gate can determine
// a floor unless lacksFloor is set.
type floorRemote struct {
	lacksFloor           bool
	onPrimary, onReplica int
}

func (r *floorRemote) Run(_ context.Context, _, _ string, j Job) Result {
	if j.Member == "primary" {
		r.onPrimary++
		return Result{Answer: statement.Answer{Code: statement.OK, Signature: "p"}}
	}
	r.onReplica++
	if r.lacksFloor && j.Floor.IsZero() {
		return Result{Err: errNoFloor}
	}
	return Result{Answer: statement.Answer{Code: statement.OK, Signature: "r"}}
}

func (r *floorRemote) Alive(context.Context, string) bool { return true }

func (*floorRemote) Drop(string) {}

// setWithoutConnections returns the set of a host that is not a gate of the members
// and whose latest floor is older than any staleness bound.
func setWithoutConnections(r Remote, disabledNames ...feature.Name) *Set {
	features := feature.Set{}
	for _, n := range disabledNames {
		features[n] = true
	}
	s := New(Config{Service: "svc", Remote: r, Host: "h0", Features: features, Log: zerolog.Nop()})
	hosts := []gates.Host{{Name: "h0", Zone: "far", Address: "a0"}, {Name: "h1", Zone: "near", Address: "a1"}, {Name: "h2", Zone: "near", Address: "a2"}}
	member := func(id string) directory.Member {
		return directory.Member{Entry: directory.Entry{ID: id, Service: "svc", Zone: "near", Slots: 2}}
	}
	s.Update([]directory.Member{member("primary"), member("replica")}, catalog.Service{MaxConnections: 16}, gates.NewFleet(hosts, nil))
	s.ObserveFloor(Floor{Position: logpos.Position{Term: 1, Offset: 7}, AsOf: clock.Now() - 5*time.Second, Leadership: Leadership{Primary: "primary", Term: 1}})
	return s
}

// TestReadWithoutFloorGoesToReplicaGate guards against loading the primary with
// reads from hosts that know no recent floor.
func TestReadWithoutFloorGoesToReplicaGate(t *testing.T) {
	for range 20 {
		r := &floorRemote{}
		out := setWithoutConnections(r).Read(context.Background(), boundedRead500ms(time.Second))
		require.Equal(t, statement.OK, out.Answer.Code, out.Cause)
		require.Equal(t, 1, r.onReplica)
		require.Zero(t, r.onPrimary)
		require.Equal(t, ByReplica, out.Source)
	}
}

// TestReadWithoutAnyFloorGoesToPrimary guards against asking further gates, instead
// of the primary, after one gate has reported that it knows no floor.
func TestReadWithoutAnyFloorGoesToPrimary(t *testing.T) {
	r := &floorRemote{lacksFloor: true}
	out := setWithoutConnections(r).Read(context.Background(), boundedRead500ms(time.Second))
	require.Equal(t, statement.OK, out.Answer.Code, out.Cause)
	require.Equal(t, 1, r.onReplica)
	require.Equal(t, 1, r.onPrimary)
	require.Equal(t, PrimaryNoFloor, out.Source)
}

// TestPrimaryRouteNeverReadsFromReplica guards against sending a read with
// primary consistency to a replica's gate.
func TestPrimaryRouteNeverReadsFromReplica(t *testing.T) {
	r := &floorRemote{}
	req := boundedRead500ms(time.Second)
	req.Route.Consistency = catalog.Primary
	setWithoutConnections(r).Read(context.Background(), req)
	require.Zero(t, r.onReplica)
}

func TestGateFloorsDisabled(t *testing.T) {
	r := &floorRemote{}
	setWithoutConnections(r, feature.GateFloors).Read(context.Background(), boundedRead500ms(time.Second))
	require.Zero(t, r.onReplica)
}

// TestGateRequestsFloorForRead checks that a gate without a floor asks other hosts,
// and refuses the read before it takes a connection if none answers.
func TestGateRequestsFloorForRead(t *testing.T) {
	s := setWithoutConnections(nil)
	j := Job{Kind: JobRead, Member: "replica", Request: boundedRead500ms(time.Second)}
	requests := 0
	s.requestFloor = func(string) { requests++ }
	require.ErrorIs(t, s.ensureFloor(context.Background(), j), errNoFloor)
	require.Positive(t, requests)

	s.requestFloor = func(string) {
		go s.ObserveFloor(Floor{Position: logpos.Position{Term: 1, Offset: 9}, AsOf: clock.Now(), Leadership: Leadership{Primary: "primary", Term: 1}})
	}
	require.NoError(t, s.ensureFloor(context.Background(), j))

	j.Kind, j.RequirePrimary = JobBegin, true
	s.requestFloor = func(string) { t.Error("a transaction on the primary needs no floor") }
	require.NoError(t, s.ensureFloor(context.Background(), j))
}
