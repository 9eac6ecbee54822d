package limits_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/quota"
	"github.com/dotterelswitch/dotterelswitch/node/limits"
)

var tolerance = quota.Tolerance{Share: 0.1, Operations: 20}

// TestCounterWithLapsedLeaseStops guards against a counter that goes on granting its whole
// share after its registration has ended, beside the host that counts in its place. It
// grants a part of the tolerated excess, and names the others when it is asked.
func TestCounterWithLapsedLeaseStops(t *testing.T) {
	self, other := quota.Host{Name: "self", Region: "a"}, quota.Host{Name: "b1", Region: "b"}
	lease := quota.LeaseValid
	l := limits.New(limits.Config{
		Self: self, RequestGrant: (&fakeNetwork{}).requestGrant,
		Limit:             func(string) (quota.Limit, bool) { return team.Limit, true },
		RegisteredAtStart: func() bool { return true },
		Lease:             func(time.Duration) quota.LeaseState { return lease },
		Tolerance:         tolerance,
	})
	l.SetFleet([]quota.Host{self, other}, map[string]string{"self": "a1:1", "b1": "b1:1"})
	require.Eventually(t, func() bool { return l.Acquire(team.Name, 1).Granted == 1 }, time.Second, time.Millisecond)

	lease = quota.LeaseDoubtful
	require.Eventually(t, func() bool { return l.Acquire(team.Name, 1).Granted == 1 }, time.Second, time.Millisecond, "no host can have replaced it")

	lease = quota.LeaseLapsed
	window := quota.Tolerance{}.WithDefaults().Window.Seconds()
	excess := 0.5 * 0.5 * (tolerance.Share*(team.Limit.Rate*window+team.Limit.Burst) + tolerance.Operations)
	require.LessOrEqual(t, float64(l.Acquire(team.Name, 1000).Granted), excess)
	g := l.Acquire(team.Name, 0)
	require.Len(t, g.Counters, 1)
	require.Equal(t, "b1", g.Counters[0].Name)

	lease = quota.LeaseExpired
	require.Zero(t, l.Acquire(team.Name, 1).Granted)
	lease = quota.LeaseValid
	require.Eventually(t, func() bool { return l.Acquire(team.Name, 1).Granted == 1 }, time.Second, time.Millisecond)
}
