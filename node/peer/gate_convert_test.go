package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
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
