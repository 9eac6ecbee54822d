package peer

import (
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/gateload"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/outcome"
	"github.com/dotterelswitch/dotterelswitch/core/outlier"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/peer/peerpb"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

// Guards against a floor that, after a slow answer, claims to cover more recent
// commits than it did when it was sent.
func TestFloorAgeIsNotUnderstatedInTransit(t *testing.T) {
	const asked, sent, arrived = 10 * time.Second, 11 * time.Second, 12 * time.Second
	f := replicaset.Floor{Position: logpos.Position{Term: 3, Offset: 7}, AsOf: sent - 400*time.Millisecond, Leadership: replicaset.Leadership{Primary: "m", Term: 4}}
	got := floorFromProto(floorToProto(f, sent), asked)
	require.Equal(t, f.Position, got.Position)
	require.Equal(t, f.Leadership, got.Leadership)
	require.LessOrEqual(t, got.AsOf, f.AsOf)
	require.Less(t, got.AsOf, arrived)
}

func TestMissingFloorIsPreserved(t *testing.T) {
	require.Nil(t, floorToProto(replicaset.Floor{}, time.Second))
	require.Zero(t, floorFromProto(nil, time.Second))
}

// TestCodesOfNewerPeerAreNotMistaken guards against a result that this version takes for
// another one, for success at worst, since its number does not fit.
func TestCodesOfNewerPeerAreNotMistaken(t *testing.T) {
	for _, n := range []uint32{200, 256, 1 << 20} {
		res := resultFromProto(&peerpb.JobResponse{Code: n}, 0)
		require.Equal(t, statement.Unrecognized, res.Answer.Code)
		require.NotEmpty(t, res.Answer.Code.String())
		refusal := responseFromProto(&peerpb.ExecuteResponse{Refusal: n}).Refusal
		require.Equal(t, outcome.RanUnknown, refusal.Code.Info().Ran)
	}
	require.NotEmpty(t, statement.Kind(200).String())
}

// TestJobsOfNewerPeerAreRefused guards against a job of an unknown kind that runs as a
// write.
func TestJobsOfNewerPeerAreRefused(t *testing.T) {
	for _, job := range []*peerpb.JobRequest{
		{Kind: 200}, {Kind: 256 + uint32(replicaset.JobWrite)}, {Statement: &peerpb.JobStatement{Kind: 200}}, {Consistency: 200},
	} {
		resp, err := (&gateServer{}).Run(t.Context(), connect.NewRequest(job))
		require.NoError(t, err)
		var refused *replicaset.RefusedError
		require.ErrorAs(t, resultFromProto(resp.Msg, 0).Err, &refused)
	}
	require.True(t, knownJob(jobToProto("svc", replicaset.Job{Kind: replicaset.JobRollback})))
}

// TestHintsOfGateSurviveTransit guards against a verdict that outlives its validity on the
// gate that gave it, and against figures that change on the way.
func TestHintsOfGateSurviveTransit(t *testing.T) {
	load := &gateload.Report{Running: 3, Capacity: 7, Waiting: 12, ExpectedWait: []time.Duration{time.Millisecond, time.Second}}
	got := loadFromProto(loadToProto(load))
	require.Equal(t, load, got)
	require.True(t, got.Valid())
	const asked, sent = 10 * time.Second, 11 * time.Second
	verdict := outlier.Ejection{Cause: outlier.Slow, Until: sent + 2*time.Second}
	require.Equal(t, outlier.Ejection{Cause: outlier.Slow, Until: asked + 2*time.Second}, ejectionFromProto(ejectionToProto(verdict, sent), asked))
}

// TestInvalidHintsOfGateAreIgnored guards against a host that leaves a member aside for
// good, or computes with absurd figures, because of what another version sends.
func TestInvalidHintsOfGateAreIgnored(t *testing.T) {
	for _, us := range []int64{-1, 0, 1 << 62, outlier.MaxRemaining.Microseconds() + 1} {
		require.Zero(t, ejectionFromProto(&peerpb.Ejection{Cause: 1, RemainingUs: us}, time.Second))
	}
	require.Equal(t, outlier.UnknownCause, ejectionFromProto(&peerpb.Ejection{Cause: 77, RemainingUs: 1}, time.Second).Cause)
	require.Nil(t, loadFromProto(nil))
	for _, p := range []*peerpb.GateLoad{{}, {Capacity: 1, Running: 1 << 31}, {Capacity: 1, WaitUs: []uint32{1 << 31}}, {Capacity: 1, WaitUs: make([]uint32, 100)}} {
		require.False(t, loadFromProto(p).Valid())
	}
}
