package inspect_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/node/inspect"
	"github.com/dotterelswitch/dotterelswitch/node/inspect/inspectpb"
)

// A host that cannot reach the store, with one dead, one draining and one ejected member.
func TestWriteText(t *testing.T) {
	s := &inspectpb.ShowResponse{
		Host: "h1", Zone: "a", Ready: true, Sessions: 3, MaxSessions: 900, KnownServices: 40,
		Configuration: &inspectpb.Configuration{Version: 4, Routes: 2},
		Store:         &inspectpb.Store{Away: true, HeardMsAgo: 700, Epoch: 3, Revision: 9, Direct: true, Hosts: 5, Phase: "polling", MayRelay: true, Keys: 12},
		Services: []*inspectpb.Service{{
			Name: "db", Primary: "db-1", Term: 2, Floor: &inspectpb.Position{Term: 2, Offset: 7}, FloorMsAgo: 30,
			Lock: &inspectpb.Lock{Holder: "h2", Acting: true, Token: 8},
			Upstreams: []*inspectpb.Upstream{
				{Name: "db-1", Zone: "a", Slots: 3, Connections: 4, InUse: 3, Waiting: 2, Dead: true, Failing: true},
				{Name: "db-2", Zone: "b", Slots: 3, Elsewhere: 1, Leaving: true, Held: &inspectpb.Position{Term: 2, Offset: 5}, HeldMsAgo: 40, Gates: []string{"10.0.0.2:7"},
					GateLoads: []*inspectpb.GateLoad{{Gate: "10.0.0.2:7", Running: 3, Capacity: 7, Waiting: 1, MsAgo: 120}}},
				{Name: "db-3", Zone: "b", Slots: 3, Ejection: "slow", EjectionMsLeft: 900},
			},
		}},
	}
	var out bytes.Buffer
	require.NoError(t, inspect.WriteText(&out, s))
	require.Equal(t, `host h1 in zone a: ready
sessions 3 of 900, jobs of other hosts 0
configuration 4 with 2 routes
store AWAY directly, heard 700 ms ago, epoch 3, revision 9; hosts 5, followers 0
copy of the store: polling, 12 keys, other hosts of the zone may follow
keeps 1 of 40 services

service db: primary db-1, term 2, floor 2/7 of 30 ms ago, lock 8 held by h2, which promotes
  UPSTREAM  ZONE  SLOTS  OPEN  IN USE  WAITING  ELSEWHERE  STATE                       LOG            THROUGH
  db-1      a     3      4     3       2        0          dead                        -              -
  db-2      b     3      0     0       0        1          leaving                     2/5 40 ms ago  10.0.0.2:7
  db-3      b     3      0     0       0        0          ejected as slow for 900 ms  -              -
  loads that gates reported
  UPSTREAM  BY          RUNNING  OF  WAITING  AGE
  db-2      10.0.0.2:7  3        7   1        120 ms
`, out.String())
}

// TestWriteTextOfWithheldPromotion checks that an operator sees why a group has no primary.
func TestWriteTextOfWithheldPromotion(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, inspect.WriteText(&out, &inspectpb.ShowResponse{Services: []*inspectpb.Service{{Name: "db", Withheld: "too few replicas answered"}}}))
	require.Contains(t, out.String(), "\n  promotion withheld: too few replicas answered\n")
}

// A host that has just started has no configuration, store state or services.
func TestWriteTextOfEmptyHost(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, inspect.WriteText(&out, &inspectpb.ShowResponse{Host: "h1", Zone: "a"}))
	require.Contains(t, out.String(), "host h1 in zone a: not ready")
}

// TestWriteTextOfQueues checks that an operator sees whose statements wait.
func TestWriteTextOfQueues(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, inspect.WriteText(&out, &inspectpb.ShowResponse{Services: []*inspectpb.Service{{
		Name: "db", Upstreams: []*inspectpb.Upstream{{Name: "db-1", Waiting: 9, Queues: []*inspectpb.Queue{{Team: "notary", Priority: 2, Waiting: 8}, {Waiting: 1}}}},
	}}}))
	require.Contains(t, out.String(), `
  WAITING FOR  TEAM    PRIORITY  STATEMENTS
  db-1         notary  2         8
  db-1         -       0         1
`)
}
